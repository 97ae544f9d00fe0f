// Package engine simulates a model engine: continuous batching on an injected
// clock, a bounded prefix cache, request priorities, streaming with cancellation
// and resume, cold starts that crash under more load than a cold engine can
// take, and load reports that lag.
//
// Completions are served by plain net/http with server-sent events; the engine
// API serves control calls. Lock order: Engine.mu before Group.mu.
package engine
