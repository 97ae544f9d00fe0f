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

// Config says how to run the system on loopback.
type Config struct {
	// PortBase is the port of the first entry.
	PortBase int
	Logger   *logrus.Logger
	// EntriesTTL is how long callers may keep an answer of /v1/entries.
	EntriesTTL time.Duration
	// InstantEngines makes model engines answer at once, for measurements.
	InstantEngines bool
	// PoisonMarker makes model engines crash on a prompt that holds it; empty
	// for none.
	PoisonMarker string
	// TLS names the keys of all entries and agents, one certificate with all of
	// their names; empty means plain TCP.
	TLS settings.TLS
}

// Description is what a caller or operator needs to use the system.
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
	Run(ctx, cut context.Context) error
}

// System is a running system.
type System struct {
	// Description tells how to use it.
	Description Description
	// Engines, Services and Platform are the stand-ins, for demonstrations of
	// failures; Ledger counts the orders really run.
	Engines  map[string]*enginestandin.Engine
	Services map[string]*plain.Service
	Platform *standin.Store
	Ledger   *plain.Ledger

	config  Config
	clock   clockwork.Clock
	servers []*http.Server
	entries group
	agents  group
}

// NotReadyError means that a process did not become ready in time.
type NotReadyError struct {
	Name string
}

// Error implements error.
func (e *NotReadyError) Error() string { return e.Name + " did not become ready" }

const (
	readyLimit    = 20 * time.Second
	readyInterval = 20 * time.Millisecond
	shutdownLimit = 30 * time.Second
)

// Start starts everything and waits until all processes are ready.
func Start(ctx context.Context, cfg Config) (*System, error) {
	s := &System{
		config: cfg, clock: clockwork.NewRealClock(), Ledger: plain.NewLedger(),
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
	if err := listHosts(s.Platform, s.hosts(plans)); err != nil {
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

func (s *System) hosts(plans []targetPlan) []service.Host {
	hosts := []service.Host{}
	for i := range entryCount {
		hosts = append(hosts, service.Host{
			Name: entryName(i), Role: link.RoleEntry,
			Address: address(s.config.PortBase, portLink+i), FailureDomain: entryDomain(i),
		})
	}
	for _, plan := range plans {
		hosts = append(hosts, service.Host{
			Name: plan.name, Role: "target", Address: plan.agent, FailureDomain: plan.domain,
		})
	}
	return hosts
}

func (s *System) proposeTables(ctx context.Context, plans []targetPlan) error {
	log := rollout.NewLog(s.Service(), s.clock)
	_, err := log.Propose(ctx, rollout.Change{
		ID: uuid.NewString(), Operator: "dev", Base: 0, Next: planTable(plans),
	})
	return err
}

func (s *System) startTarget(plan targetPlan) error {
	if err := s.serve(plan.engine, s.backEnd(plan)); err != nil {
		return err
	}
	started, err := agent.New(agent.Config{
		Settings: settings.Agent{
			Name: plan.name, FailureDomain: plan.domain, LinkAddress: plan.agent,
			StatusAddress: plan.status, EngineURL: "http://" + plan.engine, EngineKind: string(plan.kind),
			ProbeInterval: settings.DefaultProbeInterval, Shutdown: s.shutdown(), TLS: s.config.TLS,
		},
		Platform: s.Service(), Clock: s.clock, Logger: s.config.Logger,
	})
	if err != nil {
		return err
	}
	s.agents.start(started, s.config.Logger)
	return nil
}

func (s *System) backEnd(plan targetPlan) http.Handler {
	if plan.kind == table.KindService {
		s.Services[plan.name] = plain.New(s.Ledger)
		return s.Services[plan.name].Handler()
	}
	s.Engines[plan.name] = enginestandin.New(enginestandin.Config{
		Name: plan.name, Model: chatModel, ColdBearing: chatColdLimit, Bearing: chatMaximum,
		Instant: s.config.InstantEngines, PoisonMarker: s.config.PoisonMarker,
	})
	return s.Engines[plan.name].Handler()
}

// Service returns a client of the platform.
func (s *System) Service() service.Service {
	return platform.NewService(platform.NewStore(address(s.config.PortBase, portPlatform)))
}

func (s *System) shutdown() settings.Shutdown {
	return settings.Shutdown{Timeout: shutdownLimit, EntriesTTL: s.config.EntriesTTL}
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
			OperatorKeyHashes: []string{hashOf(operatorKey)},
			Limits:            settings.DefaultLimits(), Shutdown: s.shutdown(), TLS: s.config.TLS,
		},
		Platform: s.Service(), Clock: s.clock, Logger: s.config.Logger,
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
		s.Description.Callers[organisation] = callerWord + organisation
	}
}

func (s *System) awaitReady(ctx context.Context) error {
	deadline := s.clock.Now().Add(readyLimit)
	for _, running := range append(s.agents.members(), s.entries.members()...) {
		for !running.Ready() {
			if s.clock.Now().After(deadline) || ctx.Err() != nil {
				return &NotReadyError{Name: running.Name()}
			}
			s.clock.Sleep(readyInterval)
		}
	}
	return nil
}

// EngineURLs are the base URLs of the model engines.
func (s *System) EngineURLs() []string { return s.backEndURLs(table.KindModel) }

// ServiceURLs are the base URLs of the plain services.
func (s *System) ServiceURLs() []string { return s.backEndURLs(table.KindService) }

func (s *System) backEndURLs(kind table.PoolKind) []string {
	urls := []string{}
	for _, plan := range planTargets(s.config.PortBase) {
		if plan.kind == kind {
			urls = append(urls, "http://"+plan.engine)
		}
	}
	return urls
}

// serve serves a stand-in on an address until Stop.
func (s *System) serve(address string, handler http.Handler) error {
	listener, err := node.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownLimit}
	s.servers = append(s.servers, server)
	go func(l net.Listener) { _ = server.Serve(l) }(listener)
	return nil
}

// Stop leaves gracefully: entries first, then agents, then the stand-ins. When
// cut ends, what is still in flight is cut.
func (s *System) Stop(cut context.Context) {
	s.entries.stop(cut)
	s.agents.stop(cut)
	for _, engine := range s.Engines {
		engine.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// group runs processes of one role.
type group struct {
	running []process
	leave   []context.CancelFunc
	cut     []context.CancelFunc
	wait    sync.WaitGroup
}

func (g *group) start(p process, logger *logrus.Logger) {
	ctx, leave := context.WithCancel(context.Background())
	cutCtx, cut := context.WithCancel(context.Background())
	g.running = append(g.running, p)
	g.leave = append(g.leave, leave)
	g.cut = append(g.cut, cut)
	g.wait.Go(func() {
		if err := p.Run(ctx, cutCtx); err != nil {
			logger.WithError(err).Error("dev: process ended")
		}
	})
}

func (g *group) members() []process { return append([]process{}, g.running...) }

func (g *group) stop(cut context.Context) {
	for _, leave := range g.leave {
		leave()
	}
	stop := context.AfterFunc(cut, func() {
		for _, end := range g.cut {
			end()
		}
	})
	defer stop()
	g.wait.Wait()
}
