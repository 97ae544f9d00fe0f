package direct

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/process/settings"
)

// largeConfiguration returns a configuration that does not fit into one datagram, also when compressed.
func largeConfiguration(version int) []byte {
	random := rand.New(rand.NewPCG(1, uint64(version)))
	var keys strings.Builder
	for range 2000 {
		fmt.Fprintf(&keys, `"%x",`, random.Uint64())
	}
	return bytes.Replace(standin.Configuration(version, "/look/"), []byte(`"api_keys":[`), []byte(`"api_keys":[`+keys.String()), 1)
}

// isOut reports whether a failure domain is out of service at an entry.
func isOut(o *operatorObserver, domain string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.allOut()[domain]
}

// TestStartedEntryTakesWhatTheRestoredStoreLacks guards against an entry that starts after the store was
// restored from an older copy, and serves by a configuration that its peers no longer have in force, or sends
// requests to a failure domain that they keep out of service.
func TestStartedEntryTakesWhatTheRestoredStoreLacks(t *testing.T) {
	f := startFleet(t, 1)
	f.requireReady()
	f.store.Copy()
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, largeConfiguration(2))
	f.store.Put(platform.TableOperator, "evacuate/z1", []byte("{}"))
	inForce := func(e *fleetEntry, number uint64) func() bool {
		return func() bool { return e.configurationNumber() == number && e.ready() }
	}
	require.Eventually(t, inForce(f.entries[0], 2), 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return isOut(f.entries[0].operator, "z1") }, 5*time.Second, 10*time.Millisecond)
	f.store.Restore()
	f.start("edge-new", "z0")
	started := f.entries[1]
	require.Eventually(t, inForce(started, 2), 5*time.Second, 10*time.Millisecond)
	_, sent := f.entries[0].operator.configuration()
	_, received := started.operator.configuration()
	require.Equal(t, sent, received)
	require.Eventually(t, func() bool { return isOut(started.operator, "z1") }, 5*time.Second, 10*time.Millisecond)

	f.store.Put(platform.TableOperator, platform.KeyConfiguration, standin.Configuration(3, "/look/"))
	f.store.Delete(platform.TableOperator, "evacuate/z1")
	f.store.Put(platform.TableOperator, "evacuate/z1", []byte("{}"))
	f.store.Delete(platform.TableOperator, "evacuate/z1")
	for _, e := range f.entries {
		require.Eventually(t, inForce(e, 3), 5*time.Second, 10*time.Millisecond)
		require.Eventually(t, func() bool { return !isOut(e.operator, "z1") }, 5*time.Second, 10*time.Millisecond, "operators' word goes first")
	}
}

// exchangeOf returns the exchange of an entry with a configuration in force, which knows the operators' table
// up to the version 10 of era 1.
func exchangeOf(number uint64) *configurationExchange {
	known := platform.Version{Era: 1, Number: 10}
	return newConfigurationExchange(
		func() uint64 { return number },
		func(v platform.Version) bool {
			return v.Era < known.Era || v.Era == known.Era && v.Number <= known.Number
		},
		logrus.NewEntry(logs.Discard()))
}

// TestOnlyAConfigurationThatTheStoreLacksIsAskedFor guards against entries that ask peers for each change of
// the configuration, and are not ready meanwhile.
func TestOnlyAConfigurationThatTheStoreLacksIsAskedFor(t *testing.T) {
	for name, c := range map[string]struct {
		status presence.StoreStatus
		asked  bool
	}{
		"the same":            {presence.StoreStatus{OperatorEra: 1, OperatorChange: 5, Configuration: 7}, false},
		"none":                {presence.StoreStatus{OperatorEra: 1, OperatorChange: 5}, false},
		"a change to come":    {presence.StoreStatus{OperatorEra: 1, OperatorChange: 11, Configuration: 8}, false},
		"a later restoration": {presence.StoreStatus{OperatorEra: 2, OperatorChange: 1, Configuration: 8}, false},
		"lost by the store":   {presence.StoreStatus{OperatorEra: 1, OperatorChange: 10, Configuration: 8}, true},
		"of an earlier era":   {presence.StoreStatus{OperatorEra: 0, OperatorChange: 99, Configuration: 8}, true},
	} {
		t.Run(name, func(t *testing.T) {
			x := exchangeOf(7)
			now := time.Unix(1000, 0)
			require.Zero(t, x.heard(c.status, now), "the entry may be about to apply it")
			require.False(t, x.isBehind(now))
			now = now.Add(behindDelay)
			require.Equal(t, c.asked, x.heard(c.status, now) > 0)
			require.Equal(t, c.asked, x.isBehind(now))
			require.Zero(t, x.heard(c.status, now.Add(askInterval-time.Millisecond)), "not in each heartbeat")
			require.Equal(t, c.asked, x.heard(c.status, now.Add(askInterval)) > 0, "a datagram may be lost")
			require.False(t, x.isBehind(now.Add(askInterval+behindTTL)), "no peer states it any more")
		})
	}
}

// TestPartsOfAConfigurationArriveInAnyOrder guards against a configuration that is put together from parts
// of two, or never because datagrams were lost, came twice or late.
func TestPartsOfAConfigurationArriveInAnyOrder(t *testing.T) {
	value := largeConfiguration(8)
	parts, err := splitConfiguration(8, value)
	require.NoError(t, err)
	require.Greater(t, len(parts), 2)
	others, err := splitConfiguration(9, largeConfiguration(9))
	require.NoError(t, err)
	x := exchangeOf(7)
	now := time.Unix(1000, 0)
	take := func(part configurationPart) []byte {
		got, err := x.take(part)
		require.NoError(t, err)
		return got
	}
	for _, part := range parts {
		require.Nil(t, take(part), "not asked for")
	}
	status := presence.StoreStatus{OperatorEra: 1, OperatorChange: 10, Configuration: 8}
	x.heard(status, now)
	require.Equal(t, uint64(8), x.heard(status, now.Add(behindDelay)))
	for i := range parts[1:] {
		require.Nil(t, take(parts[len(parts)-1-i]))
		require.Nil(t, take(parts[len(parts)-1-i]), "twice")
		require.Nil(t, take(configurationPart{Number: 6, Count: 1, Data: []byte("x")}), "an earlier one")
		for _, invalid := range []configurationPart{
			{Number: 8, Count: len(parts), Index: -1}, {Number: 8, Count: len(parts), Index: len(parts)}, {Number: 8},
			{Number: 8, Count: maxConfigurationParts + 1}, {Number: 8, Count: 1, Data: make([]byte, maxPartBytes+1)},
		} {
			require.Nil(t, take(invalid))
		}
	}
	require.Equal(t, value, take(parts[0]))

	for i := range parts[1:] {
		require.Nil(t, take(parts[i]))
	}
	for i, other := range others {
		got := take(other)
		require.Equal(t, i == len(others)-1, got != nil, "a later one takes the place of parts")
	}
	_, err = x.take(configurationPart{Number: 8, Count: 1, Data: []byte("no configuration")})
	require.Error(t, err)
}

// TestOversizedConfigurationIsNotSent guards against datagrams without end to a peer.
func TestOversizedConfigurationIsNotSent(t *testing.T) {
	_, err := splitConfiguration(1, make([]byte, maxConfigurationBytes+1))
	require.ErrorIs(t, err, errConfigurationTooLarge)
	value := make([]byte, 2*maxConfigurationParts*maxPartBytes)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	_, err = splitConfiguration(1, value)
	require.ErrorIs(t, err, errConfigurationTooLarge)
	compressed, err := compressConfiguration(make([]byte, maxConfigurationBytes+1))
	require.NoError(t, err)
	_, err = decompressConfiguration(compressed)
	require.ErrorIs(t, err, errConfigurationTooLarge, "nor read")
}

// TestDomainsOutOfPeersAreBelievedAtTheStart guards against failure domains that entries keep out of service
// for one another without end, or against the word of operators.
func TestDomainsOutOfPeersAreBelievedAtTheStart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := New(Config{Settings: settings.Direct{Name: "a"}, Clock: clock, Logger: logs.Discard()})
	o := e.operator
	o.OnChanges([]platform.Row{{Key: "evacuate/z2"}, {Key: "evacuate/z2", Deleted: true}})
	o.mergeDomainsOut([]string{"z1", "z2"}, "b")
	require.True(t, isOut(e.operator, "z1"))
	require.False(t, isOut(e.operator, "z2"), "operators have put it back into service")
	require.Empty(t, o.missing(), "not passed on")
	clock.Advance(peerTimeout / 2)
	o.mergeDomainsOut([]string{"z1"}, "b")
	clock.Advance(peerTimeout / 2)
	o.tick()
	require.True(t, isOut(e.operator, "z1"))
	clock.Advance(peerTimeout / 2)
	o.tick()
	require.False(t, isOut(e.operator, "z1"), "the peer no longer says so")
	clock.Advance(restoredGrace)
	o.mergeDomainsOut([]string{"z1"}, "b")
	require.False(t, isOut(e.operator, "z1"), "this process has known them itself")
}
