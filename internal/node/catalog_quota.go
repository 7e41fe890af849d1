package node

import (
	"context"
	"net/netip"

	"github.com/apex/log"

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

// quotaStatus tells the state of the quotas, nil where tenants have no limit.
func (n *CatalogNode) quotaStatus(ctx context.Context) *quota.Status {
	if n.quota == nil {
		return nil
	}
	status := n.quota.Status(ctx)
	return &status
}
