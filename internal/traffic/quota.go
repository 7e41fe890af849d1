package traffic

import (
	"context"
	"net/http"
	"time"

	"sliphead/internal/catalog"
	"sliphead/internal/outcome"
)

// Quotas limits the request rate of each tenant over the whole mesh. It is safe for concurrent
// use.
type Quotas interface {
	// Take takes one request from the tenant's quota. It may query other nodes, until ctx
	// ends at the latest. If the quota is exhausted it returns false and the time after
	// which some may be available.
	Take(ctx context.Context, tenant *catalog.Tenant) (taken bool, retryAfter time.Duration)
	// Refund returns the quota taken by a request that no worker has run or will run.
	Refund(tenant *catalog.Tenant)
}

// enforceQuota refuses requests beyond a tenant's quota. It is the last step before the request is
// offered to nodes, so that requests refused for other reasons take no quota. A request that no
// worker ran returns its quota.
func (out *Outbound) enforceQuota(next stage) stage {
	return func(x *exchange) result {
		tenant := x.view.Tenant(x.tenant.name)
		if out.config.Quotas == nil || tenant == nil || tenant.RatePerSecond <= 0 {
			return next(x)
		}
		taken, retryAfter := out.config.Quotas.Take(x.context, tenant)
		if !taken {
			return refuseQuota(retryAfter)
		}
		ended := next(x)
		if ended.outcome == outcome.NotRun {
			out.config.Quotas.Refund(tenant)
		}
		return ended
	}
}

// refuseQuota returns the refusal of a request beyond its tenant's quota.
func refuseQuota(retryAfter time.Duration) result {
	return result{
		outcome:    outcome.NotRun,
		status:     http.StatusTooManyRequests,
		cause:      causeQuota,
		remedy:     "send it again later, the tenant makes more requests than it may",
		retryAfter: max(retryAfter, minRetryAfter),
	}
}
