// Package poisons measures package poison in a simulation of entries, agents and
// callers in virtual time: how many targets a poisonous request crashes before all
// entries refuse it, and whether innocent requests are refused.
package poisons
