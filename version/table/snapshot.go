package table

// CompiledTarget is a target with its failure domain resolved.
type CompiledTarget struct {
	Target
	Domain FailureDomain
	// Usable reports whether the target may get new work: it is not leaving and
	// its failure domain is not out of service.
	Usable bool
}

// CompiledPool is a pool with its targets resolved.
type CompiledPool struct {
	Pool
	// Members holds the pool's targets in the order of the table.
	Members []*CompiledTarget
	// Usable holds the members that may get new work.
	Usable []*CompiledTarget
}

// Snapshot is a compiled, immutable version of a table. It is safe for concurrent
// use. Callers must not modify anything that its methods return.
type Snapshot struct {
	table   *Table
	routes  *routeIndex
	keys    *keyIndex
	pools   map[string]*CompiledPool
	targets map[string]*CompiledTarget
}

// Compile validates the table and builds its snapshot. The table must not be
// modified afterwards. It fails with ValidationErrors.
func Compile(t *Table) (*Snapshot, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	return CompileUnchecked(t), nil
}

// CompileUnchecked builds the snapshot of a table without validating it, since
// accepted tables were validated before acceptance. The table must not be modified
// afterwards.
func CompileUnchecked(t *Table) *Snapshot {
	s := &Snapshot{table: t, routes: newRouteIndex(t.Routes), keys: newKeyIndex(t.Organisations)}
	s.compilePools()
	return s
}

// Advance returns the snapshot of the table after the delta and rebuilds only what
// the delta affects. It does not validate the new table: deltas come from the log
// of accepted versions, whose tables were validated before acceptance. It fails
// with BaseMismatchError.
func (s *Snapshot) Advance(delta Delta) (*Snapshot, error) {
	t, err := delta.Apply(s.table)
	if err != nil {
		return nil, err
	}
	next := *s
	next.table = t
	if !delta.Routes.empty() {
		next.routes = s.routes.withChanges(s.table.Routes, t.Routes, delta.Routes.names(routeName))
	}
	if changed := delta.Organisations.names(organisationName); len(changed) > 0 {
		next.keys = s.keys.withChanges(s.table.Organisations, t.Organisations, changed)
	}
	if delta.affectsPools() {
		next.compilePools()
	}
	return &next, nil
}

func (s *Snapshot) compilePools() {
	s.targets = make(map[string]*CompiledTarget, len(s.table.Targets))
	for name, target := range s.table.Targets {
		domain := s.table.Domains[target.FailureDomain]
		usable := !target.Leaving && !domain.Out
		s.targets[name] = &CompiledTarget{Target: target, Domain: domain, Usable: usable}
	}
	s.pools = make(map[string]*CompiledPool, len(s.table.Pools))
	for name, pool := range s.table.Pools {
		s.pools[name] = s.compilePool(pool)
	}
}

func (s *Snapshot) compilePool(pool Pool) *CompiledPool {
	compiled := &CompiledPool{Pool: pool}
	for _, name := range pool.Targets {
		target := s.targets[name]
		if target == nil {
			continue
		}
		compiled.Members = append(compiled.Members, target)
		if target.Usable {
			compiled.Usable = append(compiled.Usable, target)
		}
	}
	return compiled
}

// Route returns the matching route of highest priority.
func (s *Snapshot) Route(query Query) (*Route, bool) {
	route := s.routes.find(&query)
	return route, route != nil
}

// OrganisationByKey returns the organisation that a caller's API key belongs to.
func (s *Snapshot) OrganisationByKey(key string) (*Organisation, bool) { return s.keys.find(key) }

// Pool returns a pool by name.
func (s *Snapshot) Pool(name string) (*CompiledPool, bool) {
	pool, found := s.pools[name]
	return pool, found
}

// Target returns a target by name.
func (s *Snapshot) Target(name string) (*CompiledTarget, bool) {
	target, found := s.targets[name]
	return target, found
}

// Table returns the table that the snapshot was compiled from.
func (s *Snapshot) Table() *Table { return s.table }

// Version returns the table's version.
func (s *Snapshot) Version() uint64 { return s.table.Version }
