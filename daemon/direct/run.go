package direct

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/callers"
	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/daemon/follow"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/request/finish"
	"verbenaseam.example/verbenaseam/request/poison"
)

const (
	// tickInterval is the time between two checks for changes that depend on time alone.
	tickInterval = 50 * time.Millisecond
	// maxHeaderBytes limits the headers that net/http reads. The limit of the
	// configuration is checked afterwards.
	maxHeaderBytes = 1 << 20
	// shutdownMargin is the time reserved at the end of the grace period for what Run does
	// after shutDown.
	shutdownMargin = 700 * time.Millisecond
	// finishOthersTimeout limits finishOthers, which must fit into shutdownMargin too.
	finishOthersTimeout = 100 * time.Millisecond
	// answerTime is how long before shutdownMargin begins unfinished requests are ended, so that
	// their callers receive a failure and not a closed connection.
	answerTime = 100 * time.Millisecond
)

// Run implements command.Daemon.
func (e *Entry) Run(ctx, abort context.Context) error {
	started := e.clock.Now()
	servers, err := e.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	heartbeats := &heartbeater{entry: e, socket: servers.peerSocket, log: logs.Component(e.logger, "peers")}
	e.startBackground(background, &wg, heartbeats)
	servers.serve(&wg)
	e.log.WithFields(logrus.Fields{"name": e.self.Name, "callers": e.settings.CallerAddress}).Info("started")
	<-ctx.Done()
	e.shutDown(abort, servers, heartbeats)
	e.unregister()
	stop()
	servers.finishOthers()
	servers.close()
	wg.Wait()
	e.log.WithField("ran_s", e.clock.Since(started).Seconds()).Info("stopped")
	return nil
}

func (e *Entry) startBackground(ctx context.Context, wg *sync.WaitGroup, heartbeats *heartbeater) {
	log := logs.Component(e.logger, "store")
	targets := &snapshotNotifier{Observer: e.targets, done: func() { e.targetsLoaded.Store(true) }}
	peers := &snapshotNotifier{
		Observer: &peerObserver{entry: e, log: logs.Component(e.logger, "peers")}, done: e.joinPeers,
	}
	e.storeWatch.forward, e.storeWatch.onLost = heartbeats.forwardChanges, e.notifyPeers
	followTable := func(cfg follow.Config) {
		cfg.Reader, cfg.Log, cfg.Events = e.store, log, e.storeWatch.events
		cfg.Relay = e.storeWatch.relay(follow.RelayConfig{Table: cfg.Table, Settle: e.awaitPeers})
		wg.Go(func() { follow.Table(ctx, cfg) })
	}
	followTable(follow.Config{
		Table: platform.TableOperator, Observer: e.operator,
		FeedWait: func() time.Duration { return e.storeWatch.feedWait(e.operatorFeedWait()) },
		Position: e.storeWatch.operator, BatchDelay: follow.Always(operatorBatchDelay), MaxBackoff: follow.ShortMaxBackoff,
	})
	followTable(follow.Config{
		Table: platform.TableTargets, Observer: targets, Position: e.storeWatch.targets,
		FeedWait: follow.Always(follow.LongFeedWait), BatchDelay: e.batchDelay(targetsBatchDelay), MaxBackoff: e.registrationMaxBackoff(),
	})
	followTable(follow.Config{
		Table: platform.TableEntries, Observer: peers, Position: e.storeWatch.entries,
		FeedWait: follow.Always(follow.LongFeedWait), BatchDelay: e.batchDelay(entriesBatchDelay), MaxBackoff: e.registrationMaxBackoff(),
	})
	wg.Go(func() {
		e.register(ctx)
		runEvery(ctx, e.clock, registrationCheckInterval, func() { e.registerAgain(ctx) })
	})
	wg.Go(func() { e.evidence.run(ctx) })
	wg.Go(func() { runEvery(ctx, e.clock, heartbeatInterval, heartbeats.tick) })
	wg.Go(func() { heartbeats.sendOnChange(ctx) })
	wg.Go(func() { runEvery(ctx, e.clock, steerInterval, e.steer) })
	started := e.clock.Now()
	wg.Go(func() {
		runEvery(ctx, e.clock, tickInterval, func() {
			e.tick()
			e.operator.tick()
			e.logReadyOnce(started)
		})
	})
	wg.Go(heartbeats.receive)
}

const (
	// operatorBatchDelay, targetsBatchDelay and entriesBatchDelay are the pauses after
	// changes of each table. The one for entries can be long, because the heartbeats of
	// a new entry arrive before its row.
	operatorBatchDelay = 100 * time.Millisecond
	targetsBatchDelay  = 250 * time.Millisecond
	entriesBatchDelay  = time.Second
	// batchDelayPerEntry is the least pause after changes per entry: each change ends a
	// call of every entry. batchDelayFraction limits it to a part of
	// settings.Bounds.Drain, the time after which a leaving target gets no requests.
	batchDelayPerEntry = 16 * time.Millisecond
	batchDelayFraction = 0.25
	// One call waits for a change by the operator for applyFraction of
	// settings.Bounds.Apply, the time within which a configuration must be in force, but
	// at least for minOperatorFeedWait.
	applyFraction       = 0.75
	minOperatorFeedWait = 500 * time.Millisecond
)

// batchDelay returns the pauses after changes of a table: the usual one, or a longer one if
// there are many entries.
func (e *Entry) batchDelay(usual time.Duration) func() time.Duration {
	return func() time.Duration {
		longest := time.Duration(batchDelayFraction * float64(e.bounds.Load().Drain))
		entries := time.Duration(1 + len(e.peers.Names()))
		return max(usual, min(entries*batchDelayPerEntry, longest))
	}
}

// settleCheckInterval is the time between two checks whether all other entries are heard.
const settleCheckInterval = 20 * time.Millisecond

// awaitPeers waits until the entries in the store are heard, so that an entry which needs not
// follow a table knows it before its first long poll. It waits no longer than for more changes
// of targets, and not at all if there are few entries.
func (e *Entry) awaitPeers(ctx context.Context) {
	deadline := e.clock.Now().Add(e.batchDelay(targetsBatchDelay)())
	for e.clock.Now().Before(deadline) && ctx.Err() == nil {
		known := 1 + len(e.peers.Names())
		if e.peersLoaded.Load() && (known <= maxPollingEntries || e.storeWatch.liveEntries() >= known) {
			return
		}
		e.sleep(ctx, settleCheckInterval)
	}
}

// registrationMaxBackoff returns the maximum backoff of the tables of targets and
// entries. They must be read again well before the store counts as reachable, which it
// does settings.Bounds.Contact after a disturbance.
func (e *Entry) registrationMaxBackoff() time.Duration {
	return max(min(follow.LongMaxBackoff, e.bounds.Load().Contact/2), follow.ShortMaxBackoff)
}

// operatorFeedWait returns how long one call waits for a change by the operator. The wait
// is limited because a store that was unresponsive for a time may have lost the call.
func (e *Entry) operatorFeedWait() time.Duration {
	return max(time.Duration(applyFraction*float64(e.bounds.Load().Apply)), minOperatorFeedWait)
}

// snapshotNotifier calls done after each snapshot that its observer has processed.
type snapshotNotifier struct {
	follow.Observer
	done func()
}

// OnSnapshot implements follow.Observer.
func (n *snapshotNotifier) OnSnapshot(rows []platform.Row) {
	n.Observer.OnSnapshot(rows)
	n.done()
}

// logReadyOnce logs how long the start took, when the entry is ready for the first time.
func (e *Entry) logReadyOnce(started time.Time) {
	if e.ready() && e.readyLogged.CompareAndSwap(false, true) {
		e.log.WithField("after_ms", e.clock.Since(started).Milliseconds()).Info("ready")
	}
}

func (e *Entry) tick() {
	e.targets.tick()
	e.dispatcher.Tick(e.clock.Now())
	e.choices.tick(e.clock.Now())
	e.logRefusedParts()
	e.logHeldBack()
}

// logHeldBack logs and exports the services of which requests wait although slots are free,
// when they change.
func (e *Entry) logHeldBack() {
	held := e.dispatcher.HeldBack(e.clock.Now())
	for service := range held {
		if !e.heldBack[service] {
			e.log.WithField("service", service).Info("free slots are kept for more urgent requests")
			e.metrics.SetHeldBack(service, true)
		}
	}
	for service := range e.heldBack {
		if !held[service] {
			e.log.WithField("service", service).Info("no more slots are kept for more urgent requests")
			e.metrics.SetHeldBack(service, false)
		}
	}
	e.heldBack = held
}

// logRefusedParts logs and counts the prompt parts whose requests are refused, when they change.
func (e *Entry) logRefusedParts() {
	refused := e.poison.RefusedParts()
	if slices.Equal(refused, e.refusedParts) {
		return
	}
	e.log.WithFields(logrus.Fields{
		"refused": poison.FormatParts(refused), "before": poison.FormatParts(e.refusedParts),
	}).Warn("prompt parts that crash targets")
	e.refusedParts = refused
	e.metrics.SetRefusedPromptParts(len(refused))
}

// servers holds the servers and open sockets of an entry.
type servers struct {
	callers *http.Server
	// others are the servers for readiness, the directory and metrics.
	others []*http.Server
	// listeners are those of callers and others, in that order.
	listeners      []net.Listener
	callerListener *callers.Listener
	peerSocket     *net.UDPConn
}

// listen opens all sockets.
func (e *Entry) listen() (*servers, error) {
	s := &servers{callers: &http.Server{
		Handler: e.callerHandler(), MaxHeaderBytes: maxHeaderBytes, ConnState: callers.TrackState, ConnContext: withCallerConn,
	}}
	s.others = []*http.Server{
		{Handler: platform.NewReadinessHandler(e.ready), ReadHeaderTimeout: defaultHeaderTimeout},
		{Handler: platform.NewDirectoryHandler(e.resolve), ReadHeaderTimeout: defaultHeaderTimeout},
	}
	addresses := []string{e.settings.CallerAddress, e.settings.ReadyAddress, e.settings.DirectoryAddress}
	if e.settings.MetricsAddress != "" {
		s.others = append(s.others, command.NewMetricsServer(e.metrics.Handler()))
		addresses = append(addresses, e.settings.MetricsAddress)
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			s.close()
			return nil, &ListenError{Address: address, Cause: err}
		}
		if len(s.listeners) == 0 {
			s.callerListener = callers.NewListener(listener, e.callerTimeouts)
			listener = s.callerListener
		}
		s.listeners = append(s.listeners, listener)
	}
	address, err := net.ResolveUDPAddr("udp", e.settings.PeerAddress)
	if err == nil {
		s.peerSocket, err = net.ListenUDP("udp", address)
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

func (s *servers) serve(wg *sync.WaitGroup) {
	all := append([]*http.Server{s.callers}, s.others...)
	for i, server := range all {
		wg.Go(func() {
			// Serve always returns an error when its server is closed.
			_ = server.Serve(s.listeners[i])
		})
	}
}

// finishOthers lets the servers for readiness, the directory and metrics finish requests that
// have arrived; they take milliseconds.
func (s *servers) finishOthers() {
	ctx, cancel := context.WithTimeout(context.Background(), finishOthersTimeout)
	defer cancel()
	for _, server := range s.others {
		// close aborts what is left.
		_ = server.Shutdown(ctx)
	}
}

func (s *servers) close() {
	for _, server := range append([]*http.Server{s.callers}, s.others...) {
		_ = server.Close()
	}
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	if s.peerSocket != nil {
		_ = s.peerSocket.Close()
	}
}

// callerHandler serves callers' requests. While the entry shuts down, its responses ask
// callers to close their connections.
func (e *Entry) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.closeConnections.Load() {
			w.Header().Set("Connection", "close")
		}
		e.handler.ServeHTTP(w, r)
	})
}

// shutDown takes the entry out of the directory, keeps serving callers that still cache
// an old response of it, and then waits for open requests until the grace period ends. Requests
// that come meanwhile and cannot be finished by then are refused before they are passed on.
// When abort is done, it ends all requests at once.
func (e *Entry) shutDown(abort context.Context, s *servers, heartbeats *heartbeater) {
	e.leaving.Store(true)
	longestCaching := maxCachingFactor * directoryTTL
	left := max(e.bounds.Load().Grace-shutdownMargin-answerTime, 0)
	now := e.clock.Now()
	e.handler.EndBy(finish.Ending{By: now.Add(left), CallersGone: now.Add(longestCaching)})
	heartbeats.send()
	e.log.WithField("ends_in_ms", left.Milliseconds()).Info("leaving")
	if left < longestCaching {
		e.log.Warn("the grace period is shorter than callers keep directory answers; late ones find no one here")
	}
	untilEnd, cancel := context.WithTimeout(abort, left)
	defer cancel()
	e.sleep(untilEnd, longestCaching-directoryTTL)
	e.closeConnections.Store(true)
	e.sleep(untilEnd, directoryTTL)
	if s.callerListener.Drain(untilEnd) > 0 {
		e.endUnfinished(s, abort.Err() != nil)
	}
}

// endUnfinished ends the requests that are left and gives their callers time to receive that.
// bySignal is set if a second interrupt ended the shutdown, unset at the end of the grace period.
func (e *Entry) endUnfinished(s *servers, bySignal bool) {
	unfinished := e.handler.Unfinished()
	if len(unfinished) > 0 {
		e.log.WithFields(logrus.Fields{"passed_on": len(unfinished), "by_signal": bySignal}).Warn("shutdown did not complete; ending requests in flight")
	}
	for _, run := range unfinished {
		e.log.WithFields(logrus.Fields{
			"request": run.Request, "route": run.Work.Route, "target": run.Target, "age_ms": e.clock.Since(run.Began).Milliseconds(),
		}).Warn("request ended by the shutdown")
	}
	e.handler.End()
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	if left := s.callerListener.Drain(ctx); left > 0 {
		e.log.WithField("connections", left).Info("closing connections of callers")
	}
}

func (e *Entry) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-e.clock.After(d):
	}
}
