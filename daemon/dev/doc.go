// Package dev runs the whole system on loopback in one process, with small stand-ins for
// the platform, the engines and a plain service. It is meant for development and
// demonstrations. The entries and agents are the production ones; only the stand-ins are
// simulated.
package dev
