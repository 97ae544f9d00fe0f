// Package engine is the agent's client of the back end on its host, which is an
// engine or a plain HTTP service. It forwards requests, probes the state and the
// incarnation of the back end, and drives the control API for expert maps.
package engine
