package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// TickInterval is the interval between calls of Prober.Tick.
	TickInterval = 100 * time.Millisecond
	// probeInterval is the mean time between two regular probes by one process.
	probeInterval = time.Second
	// ackTimeout is how long an answer may take before the member is suspected.
	ackTimeout = 300 * time.Millisecond
	// suspectProbeInterval is the time between probes of a suspected member.
	suspectProbeInterval = 250 * time.Millisecond
	// suspicionWindow is how long a suspected member is probed before its state is
	// decided; refusedSuspicionWindow applies after a refused connection.
	suspicionWindow        = 4 * time.Second
	refusedSuspicionWindow = time.Second
	// indirectProbes is how many other members are asked to probe a suspected member
	// with each of its probes.
	indirectProbes = 2
	// updatesPerMessage is the maximum number of queued updates in one message.
	updatesPerMessage = 6
)

// OutgoingMessage is a message for the caller to send.
type OutgoingMessage struct {
	Peer string
	Kind uint16
	Body any
}

// Member is a host as seen by the prober.
type Member struct {
	Name  string
	State State
	// Incarnation is the highest incarnation reported.
	Incarnation uint64
}

// member is a Member with its probing state.
type member struct {
	Member
	leaving    bool
	noProgress bool
	refused    bool
	// unlistedSince is when the member left the list of hosts; zero if it is listed.
	unlistedSince time.Time
	// suspectedSince is when the last suspicion began and nextProbe when the member
	// is probed next during it. indirectAt is when the last indirect answer since then
	// arrived; zero if there was none.
	suspectedSince time.Time
	nextProbe      time.Time
	indirectAt     time.Time
}

// ping is an unanswered Ping to a member.
type ping struct {
	member string
	at     time.Time
	// requestedBy is the member that requested the ping; empty for the prober's own
	// pings.
	requestedBy string
}

// Prober watches the other hosts. It is a pure state machine: the caller passes in
// the time with each call and the source of randomness at construction. It is not
// safe for concurrent use.
type Prober struct {
	self        string
	incarnation uint64
	random      *rand.Rand
	noProgress  bool

	members map[string]*member
	// probeOrder lists the members that are still to be probed in this round.
	probeOrder []string
	nextProbe  time.Time
	// pings holds the unanswered pings by sequence number.
	pings     map[uint64]ping
	sequence  uint64
	suspected map[string]bool
	updates   updateQueue
	outgoing  []OutgoingMessage
}

// NewProber returns a prober; incarnation must increase with each start of the
// host's process.
func NewProber(self string, incarnation uint64, random *rand.Rand) *Prober {
	return &Prober{
		self:        self,
		incarnation: incarnation,
		random:      random,
		members:     map[string]*member{},
		pings:       map[uint64]ping{},
		suspected:   map[string]bool{},
	}
}

// SetProgress sets whether this process makes progress with its own work.
func (p *Prober) SetProgress(progress bool) { p.noProgress = !progress }

// Members returns all known hosts, sorted by name.
func (p *Prober) Members() []Member {
	all := make([]Member, 0, len(p.members))
	for _, known := range p.members {
		all = append(all, known.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// State returns the state of a host; an unknown host is Dead.
func (p *Prober) State(name string) State {
	if known := p.members[name]; known != nil {
		return known.State
	}
	return Dead
}

// Tick must be called every TickInterval. It returns the messages to send.
func (p *Prober) Tick(now time.Time) []OutgoingMessage {
	p.expirePings(now)
	p.probeNext(now)
	for _, name := range p.suspectedNames() {
		p.probeSuspect(now, p.members[name])
	}
	return p.takeOutgoing()
}

// suspectedNames returns the suspected members, sorted so that the prober is
// deterministic.
func (p *Prober) suspectedNames() []string {
	names := make([]string, 0, len(p.suspected))
	for name := range p.suspected {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// expirePings suspects members that did not answer in time.
func (p *Prober) expirePings(now time.Time) {
	for sequence, sent := range p.pings {
		if now.Sub(sent.at) < ackTimeout {
			continue
		}
		known := p.members[sent.member]
		if sent.requestedBy == "" && known != nil && known.State != Dead {
			p.suspect(now, known)
		}
		if now.Sub(sent.at) >= suspicionWindow {
			delete(p.pings, sequence)
		}
	}
}

// suspect starts the intensive probing of a member, unless it is suspected already
// or has already been found silent.
func (p *Prober) suspect(now time.Time, known *member) {
	if p.suspected[known.Name] || known.State == Stalled && !known.noProgress {
		return
	}
	p.suspected[known.Name] = true
	known.suspectedSince, known.nextProbe, known.indirectAt = now, now, time.Time{}
}

// probeNext pings the next member of the round when its time has come. Each round
// covers all members in a new random order.
func (p *Prober) probeNext(now time.Time) {
	if now.Before(p.nextProbe) || len(p.members) == 0 {
		return
	}
	if len(p.probeOrder) == 0 {
		p.probeOrder = p.names()
		p.random.Shuffle(len(p.probeOrder), func(i, j int) { p.probeOrder[i], p.probeOrder[j] = p.probeOrder[j], p.probeOrder[i] })
	}
	name := p.probeOrder[0]
	p.probeOrder = p.probeOrder[1:]
	p.nextProbe = now.Add(probeInterval*4/5 + time.Duration(p.random.Int64N(int64(probeInterval*2/5))))
	if p.members[name] != nil {
		p.ping(now, name, "")
	}
}

func (p *Prober) names() []string {
	names := make([]string, 0, len(p.members))
	for name := range p.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// probeSuspect pings a suspected member directly and through other members, and
// decides its state at the end of the suspicion window.
func (p *Prober) probeSuspect(now time.Time, known *member) {
	window := suspicionWindow
	if known.refused {
		window = refusedSuspicionWindow
	}
	if now.Sub(known.suspectedSince) >= window {
		p.endSuspicion(known)
		p.decide(now, known, !known.indirectAt.IsZero())
		return
	}
	if now.Before(known.nextProbe) {
		return
	}
	known.nextProbe = now.Add(suspectProbeInterval)
	p.ping(now, known.Name, "")
	for range indirectProbes {
		if helper := p.randomMember(known.Name); helper != "" {
			p.send(helper, KindPingRequest, PingRequest{Member: known.Name})
		}
	}
}

// endSuspicion ends the intensive probing of a member and discards the unanswered pings
// to it, except those requested by other members.
func (p *Prober) endSuspicion(known *member) {
	delete(p.suspected, known.Name)
	for sequence, sent := range p.pings {
		if sent.member == known.Name && sent.requestedBy == "" {
			delete(p.pings, sequence)
		}
	}
}

// decide sets the state of a member that did not answer this process and disseminates
// a change. CutOff is not disseminated, because it concerns only this process.
func (p *Prober) decide(now time.Time, known *member, indirect bool) {
	state := Classify(p.evidence(now, known, false, indirect))
	changed := known.State != state
	known.State = state
	if changed && state != CutOff {
		p.updates.add(Update{known.Name, state, known.Incarnation}, len(p.members))
	}
}

func (p *Prober) evidence(now time.Time, known *member, direct, indirect bool) Evidence {
	e := Evidence{
		Direct:     direct,
		Indirect:   indirect,
		NoProgress: known.noProgress,
		Refused:    known.refused,
		Leaving:    known.leaving,
	}
	if !known.unlistedSince.IsZero() {
		e.Unlisted = now.Sub(known.unlistedSince)
	}
	return e
}

// randomMember returns the name of a random live member other than except, or "" when
// four draws find none.
func (p *Prober) randomMember(except string) string {
	names := p.probeOrder
	if len(names) < 2*indirectProbes {
		names = p.names()
	}
	for range 4 {
		name := names[p.random.IntN(len(names))]
		if known := p.members[name]; name != except && known != nil && known.State == Alive {
			return name
		}
	}
	return ""
}

func (p *Prober) ping(now time.Time, name, requestedBy string) {
	p.sequence++
	p.pings[p.sequence] = ping{member: name, at: now, requestedBy: requestedBy}
	updates := p.updates.next(updatesPerMessage)
	if known := p.members[name]; known.State != Alive && known.State != CutOff {
		// Tell the member its recorded state, so that it can refute it.
		updates = append(updates, Update{name, known.State, known.Incarnation})
	}
	p.send(name, KindPing, Ping{Sequence: p.sequence, Updates: updates})
}

func (p *Prober) send(peer string, kind uint16, body any) {
	p.outgoing = append(p.outgoing, OutgoingMessage{Peer: peer, Kind: kind, Body: body})
}

// takeOutgoing returns the queued messages and clears the queue.
func (p *Prober) takeOutgoing() []OutgoingMessage {
	outgoing := p.outgoing
	p.outgoing = nil
	return outgoing
}
