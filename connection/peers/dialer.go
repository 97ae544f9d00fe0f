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
	running   sync.WaitGroup
}

// NewDialer returns a Dialer with an empty set of addresses.
func NewDialer(config link.Config, clock clockwork.Clock, log *logrus.Entry) *Dialer {
	return &Dialer{config: config, clock: clock, log: log, dialLoops: map[string]context.CancelFunc{}}
}

// SetAddresses sets the addresses to maintain links to. Links to other addresses are not
// closed, but no longer redialled once they end.
func (k *Dialer) SetAddresses(addresses []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return
	}
	next := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		next[address] = true
	}
	for address, cancel := range k.dialLoops {
		if !next[address] {
			cancel()
			delete(k.dialLoops, address)
		}
	}
	for address := range next {
		if _, ok := k.dialLoops[address]; !ok {
			k.start(address)
		}
	}
}

// start starts the dial loop of an address. mu must be held.
func (k *Dialer) start(address string) {
	ctx, cancel := context.WithCancel(context.Background())
	k.dialLoops[address] = cancel
	k.running.Add(1)
	go k.dialLoop(ctx, address)
}

// Stop ends all dial loops and waits for them. Open links stay open.
func (k *Dialer) Stop() {
	k.mu.Lock()
	k.stopped = true
	for _, cancel := range k.dialLoops {
		cancel()
	}
	k.mu.Unlock()
	k.running.Wait()
}

// dialLoop dials an address, and dials it again when the link has ended, until ctx
// ends.
func (k *Dialer) dialLoop(ctx context.Context, address string) {
	defer k.running.Done()
	backoff := minDialBackoff
	for ctx.Err() == nil {
		l, err := k.dial(ctx, address)
		if err != nil {
			k.log.WithField("address", address).WithError(err).Debug("dial failed")
			k.sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxDialBackoff)
			continue
		}
		backoff = minDialBackoff
		select {
		case <-l.Done():
			k.log.WithField("peer", l.Peer().Name).WithError(l.Err()).Info("link lost")
			k.sleep(ctx, jitter(backoff))
		case <-ctx.Done():
		}
	}
}

func (k *Dialer) dial(ctx context.Context, address string) (*link.Link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return link.Dial(dialCtx, address, k.config)
}

// sleep returns after d or when ctx ends.
func (k *Dialer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-k.clock.After(d):
	case <-ctx.Done():
	}
}

// jitter returns a random duration from d/2 to d, so that processes that lost the
// same peer do not redial it at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}
