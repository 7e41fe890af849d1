package traffic

import (
	"context"
	"net/http"
	"time"

	"sliphead/internal/catalog"
	"sliphead/internal/outcome"
)

// Quotas holds each tenant to the requests that it may make over the whole mesh.
type Quotas interface {
	// Take takes one request from what a tenant may make. It may ask other nodes, until
	// ctx ends at the latest. Without room it reports false, and after how long there
	// may be some.
	Take(ctx context.Context, tenant *catalog.Tenant) (taken bool, retryAfter time.Duration)
	// GiveBack returns what a request took that no worker has run or will run.
	GiveBack(tenant *catalog.Tenant)
}

// keepQuota refuses what goes beyond a tenant's limit. It is the last step before the
// request is offered to nodes, so that what is refused for other reasons takes nothing;
// what no worker ran gives back what it took.
func (out *Outbound) keepQuota(next stage) stage {
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
			out.config.Quotas.GiveBack(tenant)
		}
		return ended
	}
}

// refuseQuota is the refusal of a request beyond its tenant's limit.
func refuseQuota(retryAfter time.Duration) result {
	return result{
		outcome:    outcome.NotRun,
		status:     http.StatusTooManyRequests,
		cause:      causeQuota,
		remedy:     "send it again later, the tenant makes more requests than it may",
		retryAfter: max(retryAfter, leastWait),
	}
}
