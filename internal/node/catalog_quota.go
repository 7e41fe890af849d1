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

// newQuota returns the keeper that enforces tenants' limits, nil when the settings have no
// listen.quota.
func newQuota(configured *settings.Settings, logger log.Interface) (*quotakeeper.Keeper, error) {
	if configured.Listen.Quota == "" {
		return nil, nil
	}
	listen, err := netip.ParseAddrPort(configured.Listen.Quota)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, "set listen.quota to IP:port", "parse listen.quota")
	}
	return quotakeeper.New(quotakeeper.Config{
		Quota: quota.Config{
			Settings:         quota.Settings{Window: configured.Quota.Window.Duration, Overage: configured.Quota.Overage, Slack: configured.Quota.Slack},
			Self:             advertisedHost(configured, listen.Addr().String()),
			Zone:             configured.Zone,
			Region:           configured.Region,
			PropagationDelay: configured.Source.Freshness.Duration,
		},
		Listen: listen,
		Logger: logger,
	}), nil
}

// runQuota exchanges quota messages with other nodes until ctx ends. Without quotas it opens
// no socket.
func (n *CatalogNode) runQuota(ctx context.Context) error {
	if n.quota == nil {
		return nil
	}
	return n.quota.Run(ctx)
}

// quotaStatus returns the state of the quotas, nil when tenants have no limit.
func (n *CatalogNode) quotaStatus(ctx context.Context) *quota.Status {
	if n.quota == nil {
		return nil
	}
	status := n.quota.Status(ctx)
	return &status
}
