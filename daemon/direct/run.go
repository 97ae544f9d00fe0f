package direct

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/daemon/follow"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
)

const (
	// tickEvery is how often what depends on time alone is looked at.
	tickEvery = 50 * time.Millisecond
	// headerLimit is the most that net/http reads of headers; the configuration's
	// own limit is checked afterwards.
	headerLimit = 1 << 20
	// endMargin is kept free at the end of the grace period.
	endMargin = 700 * time.Millisecond
)

// Run implements command.Daemon.
func (e *Entry) Run(ctx, cut context.Context) error {
	started := e.clock.Now()
	servers, err := e.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	beats := &heartbeats{entry: e, socket: servers.peers, log: logs.Component(e.logger, "peers")}
	e.startBackground(background, &group, beats)
	servers.serve(&group)
	e.log.WithFields(logrus.Fields{"name": e.self.Name, "callers": e.settings.CallerAddress}).Info("started")
	<-ctx.Done()
	e.leave(cut, servers, beats)
	e.unregister()
	stop()
	servers.close()
	group.Wait()
	e.log.WithField("ran_s", e.clock.Since(started).Seconds()).Info("stopped")
	return nil
}

func (e *Entry) startBackground(ctx context.Context, group *sync.WaitGroup, beats *heartbeats) {
	log := logs.Component(e.logger, "store")
	known := &firstRead{Observer: e.targets, done: func() { e.targetsKnown.Store(true) }}
	operator := &operator{entry: e, log: logs.Component(e.logger, "operator"), out: map[string]bool{}}
	entries := &registrations{entry: e, log: logs.Component(e.logger, "peers")}
	alarm := follow.NewAlarm()
	read := func(cfg follow.Config) {
		cfg.Reader, cfg.Log, cfg.Alarm = e.store, log, alarm
		group.Go(func() { follow.Table(ctx, cfg) })
	}
	read(follow.Config{
		Table: platform.TableOperator, Observer: operator,
		Wait: e.operatorWait(), Settle: operatorSettle, Pause: follow.ShortPause,
	})
	read(follow.Config{
		Table: platform.TableTargets, Observer: known,
		Wait: follow.LongWait, Settle: targetsSettle, Pause: e.longPause(),
	})
	read(follow.Config{
		Table: platform.TableEntries, Observer: entries,
		Wait: follow.LongWait, Settle: entriesSettle, Pause: e.longPause(),
	})
	group.Go(func() { e.register(ctx) })
	group.Go(func() { every(ctx, e.clock, heartbeatEvery, beats.send) })
	started := e.clock.Now()
	group.Go(func() {
		every(ctx, e.clock, tickEvery, func() {
			e.tick()
			e.noteReady(started)
		})
	})
	group.Go(beats.receive)
}

const (
	// operatorSettle, targetsSettle and entriesSettle are the pauses after changes of
	// each table. Entries are heard of by their heartbeats before.
	operatorSettle = 100 * time.Millisecond
	targetsSettle  = 250 * time.Millisecond
	entriesSettle  = time.Second
	// applyShare is the part of the time in which a configuration must be in force
	// that one call waits for it, leastOperatorWait its least.
	applyShare        = 0.75
	leastOperatorWait = 500 * time.Millisecond
)

// longPause is how long the tables of targets and entries may pause after a failure:
// they must be read well before the store counts as stable again.
func (e *Entry) longPause() time.Duration {
	return max(min(follow.LongPause, e.bounds.Load().Contact/2), follow.ShortPause)
}

// operatorWait is how long one call waits for a change by the operator: a store that
// went dark and came back may have lost the call.
func (e *Entry) operatorWait() time.Duration {
	return max(time.Duration(applyShare*float64(e.bounds.Load().Apply)), leastOperatorWait)
}

// firstRead calls done when an observer has taken in a whole table.
type firstRead struct {
	follow.Observer
	done func()
}

// Whole implements follow.Observer.
func (f *firstRead) Whole(rows []platform.Row) {
	f.Observer.Whole(rows)
	f.done()
}

// noteReady tells once how long the start took.
func (e *Entry) noteReady(started time.Time) {
	if e.ready() && e.startedUp.CompareAndSwap(false, true) {
		e.log.WithField("after_ms", e.clock.Since(started).Milliseconds()).Info("ready")
	}
}

func (e *Entry) tick() {
	e.targets.tick()
	e.dispatcher.Tick(e.clock.Now())
}

// servers are the open sockets.
type servers struct {
	callers   *http.Server
	others    []*http.Server
	listeners []net.Listener
	peers     *net.UDPConn
}

// listen opens all sockets.
func (e *Entry) listen() (*servers, error) {
	s := &servers{callers: &http.Server{
		Handler: e.closingHandler(), MaxHeaderBytes: headerLimit, ConnState: noteCaller,
	}}
	s.others = []*http.Server{
		{Handler: platform.Readiness(e.ready), ReadHeaderTimeout: defaultHeader},
		{Handler: platform.Directory(e.resolve), ReadHeaderTimeout: defaultHeader},
	}
	addresses := []string{e.settings.CallerAddress, e.settings.ReadyAddress, e.settings.DirectoryAddress}
	if e.settings.MetricsAddress != "" {
		s.others = append(s.others, command.MetricsServer(e.metrics.Handler()))
		addresses = append(addresses, e.settings.MetricsAddress)
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			s.close()
			return nil, &ListenError{Address: address, Cause: err}
		}
		if len(s.listeners) == 0 {
			listener = &callerListener{listener, e.callerLimits}
		}
		s.listeners = append(s.listeners, listener)
	}
	address, err := net.ResolveUDPAddr("udp", e.settings.PeerAddress)
	if err == nil {
		s.peers, err = net.ListenUDP("udp", address)
	}
	if err != nil {
		s.close()
		return nil, &ListenError{Address: e.settings.PeerAddress, Cause: err}
	}
	return s, nil
}

// ListenError means that an address cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Cause }

func (s *servers) serve(group *sync.WaitGroup) {
	all := append([]*http.Server{s.callers}, s.others...)
	for at, server := range all {
		group.Go(func() {
			// Serve returns when its server is closed.
			_ = server.Serve(s.listeners[at])
		})
	}
}

func (s *servers) close() {
	for _, server := range append([]*http.Server{s.callers}, s.others...) {
		_ = server.Close()
	}
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	if s.peers != nil {
		_ = s.peers.Close()
	}
}

// closingHandler asks callers to leave their connections while the entry closes.
func (e *Entry) closingHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		e.handler.ServeHTTP(w, r)
	})
}

// leave takes the entry out of the directory, serves callers that still hold an
// old answer of it, and then waits for what is under way.
func (e *Entry) leave(cut context.Context, s *servers, beats *heartbeats) {
	e.leaving.Store(true)
	beats.send()
	e.log.Info("leaving")
	end := e.clock.Now().Add(e.bounds.Load().Grace - endMargin)
	keep := 3 * directoryTTL
	e.waitFor(cut, keep-directoryTTL)
	e.closing.Store(true)
	e.waitFor(cut, directoryTTL)
	ctx, cancel := context.WithTimeout(cut, max(end.Sub(e.clock.Now()), 0))
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.WithError(err).Warn("requests were cut off")
	}
}

func (e *Entry) waitFor(cut context.Context, d time.Duration) {
	select {
	case <-cut.Done():
	case <-e.clock.After(d):
	}
}
