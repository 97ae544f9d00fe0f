package dev

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/daemon/agent"
	"verbenaseam.example/verbenaseam/daemon/entry"
	"verbenaseam.example/verbenaseam/daemon/node"
	enginestandin "verbenaseam.example/verbenaseam/internal/standin/engine"
	"verbenaseam.example/verbenaseam/internal/standin/plain"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
	service "verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

// Config configures a system on loopback.
type Config struct {
	// PortBase is the port of the first entry.
	PortBase int
	Logger   *logrus.Logger
	// EntriesTTL is how long callers may cache a response of /v1/entries.
	EntriesTTL time.Duration
	// InstantEngines makes model engines answer without delay, for measurements.
	InstantEngines bool
	// PoisonMarker makes model engines crash on prompts that contain it, unless empty.
	PoisonMarker string
	// TLS names the key files of all entries and agents, which share one certificate
	// with all of their names; empty means plain TCP.
	TLS settings.TLS
}

// Description holds the addresses, keys and names that callers and operators need to use
// the system.
type Description struct {
	Entries        []string          `json:"entries"`
	Operator       string            `json:"operator"`
	OperatorKey    string            `json:"operator_key"`
	Callers        map[string]string `json:"callers"`
	ChatModel      string            `json:"chat_model"`
	LookupPath     string            `json:"lookup_path"`
	OrderPath      string            `json:"order_path"`
	FailureDomains []string          `json:"failure_domains"`
}

// process is an entry or an agent.
type process interface {
	Name() string
	Ready() bool
	Run(ctx, abort context.Context) error
}

// System is a running system.
type System struct {
	// Description describes how to use the system.
	Description Description
	// Engines, Services and Platform are the stand-ins, which can be made to fail. RunCounter
	// counts the orders that the services ran.
	Engines    map[string]*enginestandin.Engine
	Services   map[string]*plain.Service
	Platform   *standin.Store
	RunCounter *plain.RunCounter

	config  Config
	clock   clockwork.Clock
	servers []*http.Server
	entries processGroup
	agents  processGroup
}

// NotReadyError means that a process was not ready before readyTimeout had passed or the
// start was cancelled.
type NotReadyError struct {
	Name string
}

// Error implements error.
func (e *NotReadyError) Error() string { return e.Name + " did not become ready" }

const (
	readyTimeout    = 20 * time.Second
	readyInterval   = 20 * time.Millisecond
	shutdownTimeout = 30 * time.Second
)

// Start starts the system and waits until all of its processes are ready.
func Start(ctx context.Context, cfg Config) (*System, error) {
	s := &System{
		config: cfg, clock: clockwork.NewRealClock(), RunCounter: plain.NewRunCounter(),
		Engines: map[string]*enginestandin.Engine{}, Services: map[string]*plain.Service{},
		Platform: standin.NewStore(),
	}
	plans := planTargets(cfg.PortBase)
	if err := s.start(ctx, plans); err != nil {
		s.Stop(ctx)
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context, plans []targetPlan) error {
	if err := s.serve(address(s.config.PortBase, portPlatform), s.Platform); err != nil {
		return err
	}
	if err := registerHosts(s.Platform, s.plannedHosts(plans)); err != nil {
		return err
	}
	if err := s.proposeTables(ctx, plans); err != nil {
		return err
	}
	for _, plan := range plans {
		if err := s.startTarget(plan); err != nil {
			return err
		}
	}
	operatorKey := uuid.NewString()
	for i := range entryCount {
		if err := s.startEntry(i, operatorKey); err != nil {
			return err
		}
	}
	s.describe(operatorKey)
	return s.awaitReady(ctx)
}

func (s *System) plannedHosts(plans []targetPlan) []service.Host {
	hosts := []service.Host{}
	for i := range entryCount {
		hosts = append(hosts, service.Host{
			Name: entryName(i), Role: link.RoleEntry,
			Address: address(s.config.PortBase, portLink+i), FailureDomain: entryDomain(i),
		})
	}
	for _, plan := range plans {
		hosts = append(hosts, service.Host{
			Name: plan.name, Role: "target", Address: plan.agentAddress, FailureDomain: plan.domain,
		})
	}
	return hosts
}

func (s *System) proposeTables(ctx context.Context, plans []targetPlan) error {
	log := rollout.NewLog(s.NewPlatformService(), s.clock)
	_, err := log.Propose(ctx, rollout.Change{
		ID: uuid.NewString(), Operator: "dev", Base: 0, Next: buildTables(plans),
	})
	return err
}

func (s *System) startTarget(plan targetPlan) error {
	if err := s.serve(plan.backEndAddress, s.newBackEnd(plan)); err != nil {
		return err
	}
	started, err := agent.New(agent.Config{
		Settings: settings.Agent{
			Name: plan.name, FailureDomain: plan.domain, LinkAddress: plan.agentAddress,
			StatusAddress: plan.statusAddress, EngineURL: "http://" + plan.backEndAddress, EngineKind: string(plan.kind),
			ProbeInterval: settings.DefaultProbeInterval, Shutdown: s.shutdown(), TLS: s.config.TLS,
		},
		Platform: s.NewPlatformService(), Clock: s.clock, Logger: s.config.Logger,
	})
	if err != nil {
		return err
	}
	s.agents.start(started, s.config.Logger)
	return nil
}

func (s *System) newBackEnd(plan targetPlan) http.Handler {
	if plan.kind == table.KindService {
		s.Services[plan.name] = plain.New(s.RunCounter)
		return s.Services[plan.name].Handler()
	}
	s.Engines[plan.name] = enginestandin.New(enginestandin.Config{
		Name: plan.name, Model: chatModel, MaxColdInFlight: chatColdLimit, MaxBatchSize: chatMaximum,
		Instant: s.config.InstantEngines, PoisonMarker: s.config.PoisonMarker,
	})
	return s.Engines[plan.name].Handler()
}

// NewPlatformService returns a client of the platform.
func (s *System) NewPlatformService() service.Service {
	return platform.NewService(platform.NewStore(address(s.config.PortBase, portPlatform)))
}

func (s *System) shutdown() settings.Shutdown {
	return settings.Shutdown{Timeout: shutdownTimeout, EntriesTTL: s.config.EntriesTTL}
}

func entryName(i int) string { return "entry-" + string(rune('1'+i)) }

func entryDomain(i int) string { return failureDomains[i%len(failureDomains)] }

func (s *System) startEntry(i int, operatorKey string) error {
	base := s.config.PortBase
	started, err := entry.New(entry.Config{
		Settings: settings.Entry{
			Name: entryName(i), FailureDomain: entryDomain(i),
			CallerAddress: address(base, i), OperatorAddress: address(base, portOperator+i),
			LinkAddress:       address(base, portLink+i),
			OperatorKeyHashes: []string{hashKey(operatorKey)},
			Limits:            settings.DefaultLimits(), Shutdown: s.shutdown(), TLS: s.config.TLS,
		},
		Platform: s.NewPlatformService(), Clock: s.clock, Logger: s.config.Logger,
	})
	if err != nil {
		return err
	}
	s.entries.start(started, s.config.Logger)
	return nil
}

func (s *System) describe(operatorKey string) {
	base := s.config.PortBase
	s.Description = Description{
		Operator: "http://" + address(base, portOperator), OperatorKey: operatorKey,
		Callers: map[string]string{}, ChatModel: chatModel, LookupPath: lookupPath,
		OrderPath: orderPath, FailureDomains: failureDomains,
	}
	for i := range entryCount {
		s.Description.Entries = append(s.Description.Entries, "http://"+address(base, i))
	}
	for _, organisation := range organisations {
		s.Description.Callers[organisation] = callerKeyPrefix + organisation
	}
}

func (s *System) awaitReady(ctx context.Context) error {
	deadline := s.clock.Now().Add(readyTimeout)
	for _, running := range append(s.agents.processes(), s.entries.processes()...) {
		for !running.Ready() {
			if s.clock.Now().After(deadline) || ctx.Err() != nil {
				return &NotReadyError{Name: running.Name()}
			}
			s.clock.Sleep(readyInterval)
		}
	}
	return nil
}

// EngineURLs returns the base URLs of the model engines.
func (s *System) EngineURLs() []string { return s.backEndURLs(table.KindModel) }

// ServiceURLs returns the base URLs of the plain services.
func (s *System) ServiceURLs() []string { return s.backEndURLs(table.KindService) }

func (s *System) backEndURLs(kind table.PoolKind) []string {
	urls := []string{}
	for _, plan := range planTargets(s.config.PortBase) {
		if plan.kind == kind {
			urls = append(urls, "http://"+plan.backEndAddress)
		}
	}
	return urls
}

// serve serves a stand-in at an address until Stop is called.
func (s *System) serve(address string, handler http.Handler) error {
	listener, err := node.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTimeout}
	s.servers = append(s.servers, server)
	go func(l net.Listener) { _ = server.Serve(l) }(listener)
	return nil
}

// Stop shuts the system down gracefully: entries first, then agents, then the stand-ins.
// When abort ends, requests still in flight are aborted.
func (s *System) Stop(abort context.Context) {
	s.entries.stop(abort)
	s.agents.stop(abort)
	for _, engine := range s.Engines {
		engine.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// processGroup runs the processes of one role. For each process, shutDown and abort hold
// the functions that cancel the two contexts of Run.
type processGroup struct {
	running  []process
	shutDown []context.CancelFunc
	abort    []context.CancelFunc
	wait     sync.WaitGroup
}

func (g *processGroup) start(p process, logger *logrus.Logger) {
	ctx, shutDown := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(context.Background())
	g.running = append(g.running, p)
	g.shutDown = append(g.shutDown, shutDown)
	g.abort = append(g.abort, abort)
	g.wait.Go(func() {
		if err := p.Run(ctx, abortCtx); err != nil {
			logger.WithError(err).Error("dev: process failed")
		}
	})
}

func (g *processGroup) processes() []process { return append([]process{}, g.running...) }

// stop shuts the processes down and waits for them; when abort ends it aborts them.
func (g *processGroup) stop(abort context.Context) {
	for _, cancel := range g.shutDown {
		cancel()
	}
	cancelAbort := context.AfterFunc(abort, func() {
		for _, cancel := range g.abort {
			cancel()
		}
	})
	defer cancelAbort()
	g.wait.Wait()
}
