package node

import (
	mathrand "math/rand"
	"math/rand/v2"
	"time"

	"sliphead/internal/claim"
	"sliphead/internal/control"
	"sliphead/internal/distribution"
	"sliphead/internal/fault"
	"sliphead/internal/logging"
	"sliphead/internal/membership"
	"sliphead/internal/snapshot"
	"sliphead/internal/transport"
	"sliphead/internal/wire"
)

// transportConfig connects the peer transport to the control loop.
func (n *Node) transportConfig() transport.Config {
	return transport.Config{
		Bind:             n.settings.Listen.Peer,
		Self:             func() wire.Member { return n.self },
		AlternativePeers: func() []wire.Member { return n.loop.AlternativePeers() },
		Security:         transport.Security(n.settings.Security),
		Deliver:          func(received transport.Received) { n.loop.Deliver(received) },
		Logger:           n.options.Logger,
		Random:           newRandom(),
	}
}

// claimConfig connects the claim keeper to the control loop and the log.
func (n *Node) claimConfig() claim.KeeperConfig {
	return claim.KeeperConfig{
		Config: claim.Config{
			Node:      n.self.Name,
			Worker:    n.self.Worker,
			KeyLife:   n.settings.Claims.KeyLife.Duration,
			GroupSize: n.settings.Claims.GroupSize,
			ClockSkew: n.settings.Claims.ClockSkew.Duration,
			Since:     n.settings.Claims.Since,
			CopyOnly:  n.settings.Claims.CopyOnly,
			Random:    newRandom(),
		},
		Send: func(outgoing wire.Outgoing) { n.loop.Send(outgoing) },
		Log:  n.logClaim,
	}
}

// logClaim logs an event of the claim protocol.
func (n *Node) logClaim(event claim.Log) {
	logging.Event(n.options.Logger, string(event.Name), logging.Fields{"service": event.Service, "count": event.Count})
}

// controlConfig connects the control loop to the other parts.
func (n *Node) controlConfig() control.Config {
	return control.Config{
		Membership:      n.membershipConfig(),
		Distribution:    n.distributionConfig(),
		Holder:          n.holder,
		Sender:          n.transport,
		Claims:          n.keeper,
		Lease:           n.settings.Distribution.Lease.Duration,
		Tick:            controlTick,
		Overlap:         n.settings.Distribution.ScheduleOverlap.Duration,
		LocalWorker:     n.self.Worker,
		Now:             time.Now,
		Logger:          n.options.Logger,
		OnReaderChanged: func(reader bool) { n.source.setDuty(reader) },
	}
}

// membershipConfig applies the settings to the profile's defaults.
func (n *Node) membershipConfig() membership.Config {
	config := membership.DefaultConfig(membership.Profile(n.settings.Profile))
	config.Self = n.self
	config.Seeds = n.settings.Seeds
	config.ProbeInterval = n.settings.Membership.ProbeInterval.Duration
	config.GossipInterval = n.settings.Membership.GossipInterval.Duration
	config.Random = newRandom()
	return config
}

// distributionConfig applies the settings to the defaults.
func (n *Node) distributionConfig() distribution.Config {
	config := distribution.DefaultConfig()
	config.Self = n.self
	config.Holders = n.settings.Distribution.Holders
	config.Fanout = n.settings.Distribution.Fanout
	config.ReadersPerZone = n.settings.Distribution.ReadersPerZone
	config.MaxReaders = n.settings.Source.Readers
	config.Lease = n.settings.Distribution.Lease.Duration
	config.Validate = validate
	config.Random = mathrand.New(mathrand.NewSource(rand.Int64()))
	return config
}

// validate is the deterministic check that every node makes of a version. It does not need the
// values of secrets, which may arrive later.
func validate(set *snapshot.Set) error {
	findings := set.Validate()
	if len(findings) == 0 {
		return nil
	}
	first := findings[0]
	return fault.New(fault.Declaration, first.Remedy, "%s (%d findings)", first.What, len(findings))
}
