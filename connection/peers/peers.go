// Package peers manages the links of a process to other processes. A Registry
// holds the open links by peer name, and a Dialer dials a set of addresses and
// redials them when a link is lost.
package peers

import (
	"sort"
	"sync"

	"verbenaseam.example/verbenaseam/connection/link"
)

// NoLinkError means that there is no open link to a peer.
type NoLinkError struct {
	// Peer is the peer's name.
	Peer string
}

// Error implements error.
func (e *NoLinkError) Error() string { return "no link to " + e.Peer }

// Registry holds the open link to each peer. A new link replaces an older one to the
// same peer.
type Registry struct {
	// mu guards links. No other lock is taken while it is held.
	mu    sync.RWMutex
	links map[string]*link.Link
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{links: map[string]*link.Link{}}
}

// Add registers a link. The link is removed when it ends.
func (r *Registry) Add(l *link.Link) {
	name := l.Peer().Name
	r.mu.Lock()
	r.links[name] = l
	r.mu.Unlock()
	go r.removeWhenDone(name, l)
}

func (r *Registry) removeWhenDone(name string, l *link.Link) {
	<-l.Done()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[name] == l {
		delete(r.links, name)
	}
}

// Get returns the open link to a peer.
func (r *Registry) Get(name string) (*link.Link, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	l, ok := r.links[name]
	return l, ok
}

// PeerNames returns the sorted names of the peers with an open link.
func (r *Registry) PeerNames() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	names := make([]string, 0, len(r.links))
	for name := range r.links {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Links returns the open links in no particular order.
func (r *Registry) Links() []*link.Link {
	r.mu.RLock()
	defer r.mu.RUnlock()
	links := make([]*link.Link, 0, len(r.links))
	for _, l := range r.links {
		links = append(links, l)
	}
	return links
}

// Send sends a one-way message to a peer. It returns a NoLinkError if there is no
// open link to it.
func (r *Registry) Send(peer string, kind uint16, body any) error {
	l, ok := r.Get(peer)
	if !ok {
		return &NoLinkError{Peer: peer}
	}
	return l.Send(kind, body)
}

// Broadcast sends a one-way message to every peer with the role. Delivery is best
// effort: a peer whose link has failed or whose send queue is full does not get the
// message.
func (r *Registry) Broadcast(role string, kind uint16, body any) {
	for _, l := range r.Links() {
		if l.Peer().Role == role {
			_ = l.Send(kind, body)
		}
	}
}
