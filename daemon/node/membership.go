package node

import (
	"context"
	"math/rand/v2"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/connection/peers"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/membership"
	"verbenaseam.example/verbenaseam/process/platform"
)

// probeTransport sends the messages of the membership protocol over the live links.
// A message to a peer without a link is dropped without an error: a host is declared
// dead because of missing acknowledgements or reports of other hosts only.
type probeTransport struct {
	peers *peers.Registry
}

// Send implements membership.Transport.
func (t probeTransport) Send(peer string, kind uint16, body any) error {
	_ = t.peers.Send(peer, kind, body)
	return nil
}

func newMembership(n *Node, cfg Config) *membership.Service {
	return membership.NewService(membership.ServiceConfig{
		Self:        cfg.Name,
		Incarnation: uint64(cfg.Clock.Now().UnixMicro()),
		Clock:       cfg.Clock,
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Transport:   probeTransport{peers: n.Peers},
		Hosts:       n.probedHosts,
		Logger:      cfg.Logger,
		Metrics:     cfg.Metrics.Registry(),
	})
}

// probedHosts returns this host and the hosts that this process probes. Entries
// probe all hosts. Agents probe only entries, because agents have no links to each
// other, except within a lock-step group.
func (n *Node) probedHosts() []platform.Host {
	hosts := n.Rollout.Hosts()
	if n.config.Role == link.RoleEntry {
		return hosts
	}
	entries := []platform.Host{}
	for _, host := range hosts {
		if host.Role == hostRoles[link.RoleEntry] || host.Name == n.config.Name {
			entries = append(entries, host)
		}
	}
	return entries
}

func (n *Node) runMembership(ctx context.Context) {
	if err := n.Membership.Run(ctx); err != nil && ctx.Err() == nil {
		logs.Component(n.config.Logger, "membership").WithError(err).Error("membership service failed")
	}
}
