package release

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Census counts processes by what they state of a format.
type Census map[Info]int

// NewCensus counts processes.
func NewCensus(processes []Info) Census {
	c := Census{}
	for _, info := range processes {
		c[info]++
	}
	return c
}

// Common returns the highest version that all processes speak, or false if there is none.
func (c Census) Common() (uint8, bool) {
	all := Range{Min: 1, Max: 255}
	for info := range c {
		versions := info.Versions()
		all = Range{Min: max(all.Min, versions.Min), Max: min(all.Max, versions.Max)}
	}
	return all.Max, all.Min <= all.Max
}

// String lists the builds with their versions and numbers, sorted.
func (c Census) String() string {
	infos := slices.SortedFunc(maps.Keys(c), func(a, b Info) int {
		return cmp.Or(cmp.Compare(a.Build, b.Build), cmp.Compare(a.Max, b.Max), cmp.Compare(a.Min, b.Min))
	})
	var parts []string
	for _, info := range infos {
		parts = append(parts, fmt.Sprintf("%s (versions %s): %d", info.name(), info.versions(), c[info]))
	}
	return strings.Join(parts, ", ")
}

func (i Info) name() string { return cmp.Or(i.Build, unstatedBuild) }

func (i Info) versions() string {
	versions := i.Versions()
	return fmt.Sprintf("%d-%d", versions.Min, versions.Max)
}

// Observer logs and exports the builds of the processes that exchange a format. It is not
// safe for concurrent use.
type Observer struct {
	log    *logrus.Entry
	builds *prometheus.GaugeVec
	common prometheus.Gauge
	last   Census
}

// NewObserver returns an observer whose metrics are in the registry.
func NewObserver(registry prometheus.Registerer, log *logrus.Entry) *Observer {
	o := &Observer{
		log: log,
		builds: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "verbenaseam_builds", Help: "Processes that exchange datagrams with this one, and itself, by build and versions.",
		}, []string{"build", "versions"}),
		common: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "verbenaseam_common_version", Help: "Highest version of the datagrams that all of them speak; 0 for none.",
		}),
	}
	registry.MustRegister(o.builds, o.common)
	return o
}

// Update takes over a census. It logs it if it has changed.
func (o *Observer) Update(census Census) {
	if maps.Equal(census, o.last) {
		return
	}
	o.last = census
	o.builds.Reset()
	for info, count := range census {
		o.builds.WithLabelValues(info.name(), info.versions()).Add(float64(count))
	}
	common, ok := census.Common()
	entry := o.log.WithField("builds", census.String())
	if !ok {
		o.common.Set(0)
		entry.Error("no version of the datagrams is spoken by all processes")
		return
	}
	o.common.Set(float64(common))
	entry.WithField("version", common).Info("builds in use")
}
