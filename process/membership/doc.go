// Package membership determines which hosts can be used: which are alive, stalled,
// leaving, dead, or cut off from this process.
//
// The hosts come from the settings and from the platform's live list, which lags.
// A Prober watches them with the SWIM protocol: each process probes one random
// member at a time, asks other members to probe it when it does not answer, and
// piggybacks its findings on the probe messages, so that the load of a process does
// not grow with the number of hosts.
package membership
