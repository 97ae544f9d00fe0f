package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/link"
)

const (
	// minDialBackoff and maxDialBackoff bound the back-off, before jitter, between
	// two dials of an address.
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	dialTimeout    = 3 * time.Second
)

// Dialer maintains a link to every address of a set and redials with exponential
// back-off. It does not register the links: the callbacks of its link.Config add them
// to a Registry.
type Dialer struct {
	config link.Config
	clock  clockwork.Clock
	log    *logrus.Entry

	// mu guards dialLoops and stopped. No other lock is taken while it is held.
	mu sync.Mutex
	// dialLoops holds the function that cancels the dial loop of each address.
	dialLoops map[string]context.CancelFunc
	stopped   bool
	// running counts the dial loops that have not ended.
	running sync.WaitGroup
}

// NewDialer returns a Dialer with an empty set of addresses.
func NewDialer(config link.Config, clock clockwork.Clock, log *logrus.Entry) *Dialer {
	return &Dialer{config: config, clock: clock, log: log, dialLoops: map[string]context.CancelFunc{}}
}

// SetAddresses sets the addresses to maintain links to. Links to other addresses are not
// closed, but no longer redialled once they end.
func (d *Dialer) SetAddresses(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	next := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		next[address] = true
	}
	for address, cancel := range d.dialLoops {
		if !next[address] {
			cancel()
			delete(d.dialLoops, address)
		}
	}
	for address := range next {
		if _, ok := d.dialLoops[address]; !ok {
			d.startDialLoop(address)
		}
	}
}

// startDialLoop starts the dial loop of an address. mu must be held.
func (d *Dialer) startDialLoop(address string) {
	ctx, cancel := context.WithCancel(context.Background())
	d.dialLoops[address] = cancel
	d.running.Add(1)
	go d.dialLoop(ctx, address)
}

// Stop ends all dial loops and waits for them. Open links stay open.
func (d *Dialer) Stop() {
	d.mu.Lock()
	d.stopped = true
	for _, cancel := range d.dialLoops {
		cancel()
	}
	d.mu.Unlock()
	d.running.Wait()
}

// dialLoop dials an address, and dials it again when the link has ended, until ctx
// ends.
func (d *Dialer) dialLoop(ctx context.Context, address string) {
	defer d.running.Done()
	backoff := minDialBackoff
	for ctx.Err() == nil {
		l, err := d.dial(ctx, address)
		if err != nil {
			d.log.WithField("address", address).WithError(err).Debug("dial failed")
			d.sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxDialBackoff)
			continue
		}
		backoff = minDialBackoff
		select {
		case <-l.Done():
			d.log.WithField("peer", l.Peer().Name).WithError(l.Err()).Info("link lost")
			d.sleep(ctx, jitter(backoff))
		case <-ctx.Done():
		}
	}
}

func (d *Dialer) dial(ctx context.Context, address string) (*link.Link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return link.Dial(dialCtx, address, d.config)
}

// sleep returns after the duration or when ctx ends.
func (d *Dialer) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-d.clock.After(duration):
	case <-ctx.Done():
	}
}

// jitter returns a random duration from d/2 to d, so that processes that lost the
// same peer do not redial it at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}
