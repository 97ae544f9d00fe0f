package table

import "maps"

// WithDomainOut returns a copy of the table at the next version with the failure
// domain taken out of service or put back. It fails with UnknownNameError.
func WithDomainOut(t *Table, name string, out bool) (*Table, error) {
	domain, found := t.Domains[name]
	if !found {
		return nil, &UnknownNameError{Kind: sectionDomain, Name: name}
	}
	domain.Out = out
	next := *t
	next.Version++
	next.Domains = maps.Clone(t.Domains)
	next.Domains[name] = domain
	return &next, nil
}

// WithTargetLeaving returns a copy of the table at the next version with the
// target marked as leaving. It fails with UnknownNameError.
func WithTargetLeaving(t *Table, name string) (*Table, error) {
	target, found := t.Targets[name]
	if !found {
		return nil, &UnknownNameError{Kind: sectionTarget, Name: name}
	}
	target.Leaving = true
	next := *t
	next.Version++
	next.Targets = maps.Clone(t.Targets)
	next.Targets[name] = target
	return &next, nil
}
