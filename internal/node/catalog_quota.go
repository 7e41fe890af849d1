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

// configureQuota tells of tenants, and of the nodes that hold their limits.
func (n *CatalogNode) configureQuota(state *catalog.State) {
	configuration := state.Configuration()
	if n.quota == nil || configuration == nil {
		return
	}
	var hosts []quota.Host
	for _, instance := range state.Instances() {
		if host, _, err := net.SplitHostPort(instance.Address); err == nil {
			hosts = append(hosts, quota.Host{Address: host, Zone: instance.Zone, Region: n.settings.Regions[instance.Zone]})
		}
	}
	n.quota.Configure(quota.Configured{Tenants: configuration.Tenants, Hosts: hosts})
}

// quotaStatus tells the state of the quotas, nil where tenants have no limit.
func (n *CatalogNode) quotaStatus(ctx context.Context) *quota.Status {
	if n.quota == nil {
		return nil
	}
	status := n.quota.Status(ctx)
	return &status
}
