// Package admit implements admission control. A Gate limits the concurrency of
// one target and is the only place that admits work to it. A FairQueue divides
// an entry's dispatch slots between service classes and organisations. Quotas
// limits the request rate of each organisation across all entries.
//
// Lock order: each type has a single mutex and never calls out of the package
// while holding it, so all of them are leaf locks.
package admit
