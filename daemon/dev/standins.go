package dev

import (
	"context"
	"net/http"
	"net/url"
	"path/filepath"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/daemon/node"
	enginestandin "verbenaseam.example/verbenaseam/internal/standin/engine"
	"verbenaseam.example/verbenaseam/internal/standin/plain"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
	service "verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/process/settings"
)

// NoSettingsError means that a directory contains no settings files of agents.
type NoSettingsError struct {
	Directory string
}

// Error implements error.
func (e *NoSettingsError) Error() string { return "no settings files agent-*.ini in " + e.Directory }

// Standins holds the stand-ins for the platform, engines and services named in the
// settings files of a directory.
type Standins struct {
	// Platform is the platform's stand-in.
	Platform *standin.Store
	// RunCounter counts the orders that the services ran.
	RunCounter *plain.RunCounter
	// Engines are the model engines by target.
	Engines map[string]*enginestandin.Engine
	// Services are the plain services by target.
	Services map[string]*plain.Service
	servers  []*http.Server
}

// StartStandins starts stand-ins at the addresses named in the files entry-*.ini and
// agent-*.ini of a directory.
func StartStandins(directory string) (*Standins, error) {
	agents, err := loadAgents(directory)
	if err != nil {
		return nil, err
	}
	s := &Standins{
		RunCounter: plain.NewRunCounter(), Engines: map[string]*enginestandin.Engine{},
		Services: map[string]*plain.Service{},
	}
	s.Platform = standin.NewStore()
	if err := s.serve(agents[0].Platform.StoreAddress, s.Platform); err != nil {
		return nil, err
	}
	hosts, err := hostsInSettings(directory, agents)
	if err != nil {
		return nil, err
	}
	if err := registerHosts(s.Platform, hosts); err != nil {
		return nil, err
	}
	for _, agent := range agents {
		engine, err := url.Parse(agent.EngineURL)
		if err == nil {
			err = s.serve(engine.Host, s.newBackEnd(agent))
		}
		if err != nil {
			s.Stop()
			return nil, err
		}
	}
	return s, nil
}

func loadAgents(directory string) ([]settings.Agent, error) {
	files, _ := filepath.Glob(filepath.Join(directory, "agent-*.ini"))
	if len(files) == 0 {
		return nil, &NoSettingsError{Directory: directory}
	}
	agents := make([]settings.Agent, 0, len(files))
	for _, file := range files {
		loaded, err := settings.LoadAgent(file)
		if err != nil {
			return nil, err
		}
		agents = append(agents, loaded)
	}
	return agents, nil
}

// registerHosts writes the hosts to the store, which in production is done when the hosts
// are set up.
func registerHosts(store *standin.Store, hosts []service.Host) error {
	for _, host := range hosts {
		row, err := platform.EncodeHost(host)
		if err != nil {
			return err
		}
		store.Put(row.Table, row.Key, row.Value)
	}
	return nil
}

func hostsInSettings(directory string, agents []settings.Agent) ([]service.Host, error) {
	hosts := []service.Host{}
	for _, agent := range agents {
		hosts = append(hosts, service.Host{
			Name: agent.Name, Role: "target", Address: agent.LinkAddress, FailureDomain: agent.FailureDomain,
		})
	}
	files, _ := filepath.Glob(filepath.Join(directory, "entry-*.ini"))
	for _, file := range files {
		entry, err := settings.LoadEntry(file)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, service.Host{
			Name: entry.Name, Role: link.RoleEntry, Address: entry.LinkAddress, FailureDomain: entry.FailureDomain,
		})
	}
	return hosts, nil
}

func (s *Standins) newBackEnd(agent settings.Agent) http.Handler {
	if agent.EngineKind == "service" {
		s.Services[agent.Name] = plain.New(s.RunCounter)
		return s.Services[agent.Name].Handler()
	}
	engine := enginestandin.New(enginestandin.Config{Name: agent.Name})
	s.Engines[agent.Name] = engine
	return engine.Handler()
}

func (s *Standins) serve(address string, handler http.Handler) error {
	listener, err := node.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Run serves until ctx ends, then stops the stand-ins.
func (s *Standins) Run(ctx context.Context) {
	<-ctx.Done()
	s.Stop()
}

// Stop stops the stand-ins.
func (s *Standins) Stop() {
	for _, engine := range s.Engines {
		engine.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
