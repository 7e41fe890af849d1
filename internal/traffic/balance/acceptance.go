package balance

import (
	"math"
	"time"

	"sliphead/internal/snapshot"
)

// acceptance tracks, with exponential decay, how many requests of a route this node has
// recently offered to other zones and how many were accepted. In an overload of the whole
// mesh all zones reject, and offering every request to each of them costs bytes between
// zones and serves nobody.
type acceptance struct {
	offered, accepted float64
	updated           time.Time
}

// acceptanceKey is the key of an acceptance; an empty zone stands for all other zones.
type acceptanceKey struct{ zone, route string }

const (
	acceptanceDecay = time.Second // time constant of the decay: about the length of a burst
	maxAcceptances  = 2048        // maximum number of tracked pairs of zone and route
	priorAcceptance = 0.5         // assumed probability of acceptance without recent offers
	priorOffers     = 2           // number of offers that the prior counts for
	// minAcceptance is the probability of acceptance below which a zone gets no further
	// offers. It weighs the bytes of an offer between zones (about 0.6 kB, by bytePrice)
	// against the value to a caller of being served now instead of after a retry: a third
	// of the credit.
	minAcceptance = 0.12
)

// recordOffer records whether an endpoint of another zone accepted a request.
func (b *Balancer) recordOffer(now time.Time, zone, route string, taken bool) {
	if len(b.acceptances) >= maxAcceptances {
		clear(b.acceptances)
	}
	for _, key := range []acceptanceKey{{zone, route}, {"", route}} {
		current := b.acceptances[key].decayedTo(now)
		current.offered++
		if taken {
			current.accepted++
		}
		b.acceptances[key] = current
	}
}

// decayedTo returns the counts decayed to a later time.
func (r acceptance) decayedTo(now time.Time) acceptance {
	part := math.Exp(-float64(now.Sub(r.updated)) / float64(acceptanceDecay))
	return acceptance{offered: r.offered * part, accepted: r.accepted * part, updated: now}
}

// probability is the probability that an offer is accepted, given a prior.
func (r acceptance) probability(prior float64) float64 {
	return (r.accepted + prior*priorOffers) / (r.offered + priorOffers)
}

// acceptProbability is the probability that another zone accepts a further offer. For a
// zone without recent offers it is that of the other zones.
func (b *Balancer) acceptProbability(now time.Time, zone, route string) float64 {
	others := b.acceptances[acceptanceKey{"", route}].decayedTo(now).probability(priorAcceptance)
	return b.acceptances[acceptanceKey{zone, route}].decayedTo(now).probability(others)
}

// mayAccept reports whether another zone is likely enough to accept a further offer.
func (b *Balancer) mayAccept(now time.Time, zone, route string) bool {
	return b.acceptProbability(now, zone, route) >= minAcceptance
}

// remoteMayAccept is mayAccept for another region: the higher the price of its bytes, the
// higher the probability must be.
func (b *Balancer) remoteMayAccept(now time.Time, endpoint *snapshot.Endpoint, route string) bool {
	return b.acceptProbability(now, endpoint.Zone, route) >= minAcceptance*b.byteFactor(endpoint)
}

// isSkipped reports whether an endpoint of another zone must not be tried: the request must
// stay in its zone, or it was rejected before and the endpoint's zone is unlikely to accept
// it either. An endpoint of another region is also skipped if the region is unreachable or
// if the network time takes too much of the time left.
func (b *Balancer) isSkipped(now time.Time, need Need, endpoint *snapshot.Endpoint) bool {
	if endpoint.Zone == b.settings.Zone {
		return false
	}
	if need.StayInZone || need.Rejected && !b.mayAccept(now, endpoint.Zone, need.Route) {
		return true
	}
	return b.isRemote(endpoint) && (need.Rejected && !b.remoteMayAccept(now, endpoint, need.Route) || b.regionIsBackedOff(now, endpoint) || b.exceedsNetworkTime(need, endpoint))
}
