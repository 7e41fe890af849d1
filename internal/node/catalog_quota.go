package node

import (
	"context"
	"net"
	"net/netip"

	"github.com/apex/log"

	"sliphead/internal/catalog"
	"sliphead/internal/fault"
	"sliphead/internal/quota"
	quotakeeper "sliphead/internal/quota/keeper"
	"sliphead/internal/settings"
)

// newQuota returns what holds tenants to their limits, nil where the settings name no
// address for it.
func newQuota(configured *settings.Settings, logger log.Interface) (*quotakeeper.Keeper, error) {
	if configured.Listen.Quota == "" {
		return nil, nil
	}
	listen, err := netip.ParseAddrPort(configured.Listen.Quota)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, "give listen.quota as IP:port", "read listen.quota")
	}
	return quotakeeper.New(quotakeeper.Config{
		Quota: quota.Config{
			Settings: quota.Settings{Window: configured.Quota.Window.Duration, Overage: configured.Quota.Overage, Slack: configured.Quota.Slack},
			Self:     advertisedHost(configured, listen.Addr().String()),
			Zone:     configured.Zone,
			Region:   configured.Region,
			Lag:      configured.Source.Freshness.Duration,
		},
		Listen: listen,
		Logger: logger,
	}), nil
}

// runQuota talks to other nodes until ctx ends; without quotas it opens no socket.
func (n *CatalogNode) runQuota(ctx context.Context) error {
	if n.quota == nil {
		return nil
	}
	return n.quota.Run(ctx)
}

// tellHosts tells the quarantine of the nodes that it may ask, and the quotas of those that
// hold the limits of tenants.
func (n *CatalogNode) tellHosts(state *catalog.State) {
	hosts := n.hostsOf(state)
	addresses := make([]string, 0, len(hosts))
	for _, host := range hosts {
		addresses = append(addresses, host.Address)
	}
	n.quarantine.Peers(addresses)
	if configuration := state.Configuration(); n.quota != nil && configuration != nil {
		n.quota.Configure(quota.Configured{Tenants: configuration.Tenants, Hosts: hosts})
	}
}

// hostsOf returns the machines that have a worker on record, each of which has a node.
func (n *CatalogNode) hostsOf(state *catalog.State) []quota.Host {
	instances := state.Instances()
	hosts := make([]quota.Host, 0, len(instances))
	for _, instance := range instances {
		if host, _, err := net.SplitHostPort(instance.Address); err == nil {
			hosts = append(hosts, quota.Host{Address: host, Zone: instance.Zone, Region: n.settings.Regions[instance.Zone]})
		}
	}
	return hosts
}

// quotaStatus tells the state of the quotas, nil where tenants have no limit.
func (n *CatalogNode) quotaStatus(ctx context.Context) *quota.Status {
	if n.quota == nil {
		return nil
	}
	status := n.quota.Status(ctx)
	return &status
}
