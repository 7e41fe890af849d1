package balance

import (
	"math"
	"time"

	"sliphead/internal/snapshot"
)

// room is what this node has met of late when it asked other zones to take requests of
// one route: how many questions there were and how many requests were taken, older ones
// fading. In an overload of the whole mesh all zones refuse, and asking each of them for
// every request costs bytes between zones and serves nobody.
type room struct {
	asked, taken float64
	at           time.Time
}

// roomKey names what room is known of; an empty zone stands for all other zones.
type roomKey struct{ zone, route string }

const (
	roomMemory = time.Second // over which a question counts a third: how long bursts last
	mostRooms  = 2048        // zones times routes that are remembered
	priorRoom  = 0.5         // chance that a question is taken where none was put of late
	priorCount = 2           // questions that the prior chance counts for
	// leastRoom is the chance from which a zone is asked further. A question takes about
	// 0.6 kB between zones, and bytePrice sets that against what being served now, and
	// not after coming back, is worth to a caller: a third of the credit.
	leastRoom = 0.12
)

// noteRoom takes in whether another zone's endpoint took a request.
func (b *Balancer) noteRoom(now time.Time, zone, route string, taken bool) {
	if len(b.rooms) >= mostRooms {
		clear(b.rooms)
	}
	for _, key := range []roomKey{{zone, route}, {"", route}} {
		known := b.rooms[key].fadedTo(now)
		known.asked++
		if taken {
			known.taken++
		}
		b.rooms[key] = known
	}
}

// fadedTo returns what counts of the room later on.
func (r room) fadedTo(now time.Time) room {
	part := math.Exp(-float64(now.Sub(r.at)) / float64(roomMemory))
	return room{asked: r.asked * part, taken: r.taken * part, at: now}
}

// chance is how likely a question is taken, given what is expected without knowledge.
func (r room) chance(prior float64) float64 {
	return (r.taken + prior*priorCount) / (r.asked + priorCount)
}

// chanceOf is how likely a further question to another zone is taken. Of a zone that was
// not asked of late, the same is expected as of the others.
func (b *Balancer) chanceOf(now time.Time, zone, route string) float64 {
	others := b.rooms[roomKey{"", route}].fadedTo(now).chance(priorRoom)
	return b.rooms[roomKey{zone, route}].fadedTo(now).chance(others)
}

// hasRoom reports whether a further question to another zone is likely enough to be taken.
func (b *Balancer) hasRoom(now time.Time, zone, route string) bool {
	return b.chanceOf(now, zone, route) >= leastRoom
}

// hasRoomFar reports the same of another region: the dearer its bytes, the likelier it has
// to be.
func (b *Balancer) hasRoomFar(now time.Time, endpoint *snapshot.Endpoint, route string) bool {
	return b.chanceOf(now, endpoint.Zone, route) >= leastRoom*b.byteFactor(endpoint)
}

// passedOver reports whether an endpoint of another zone is not to be asked: enough of
// them were, or one has refused the request and this one's zone has no room either; nor one
// of another region that is lost, or to which the way takes too much of the time left.
func (b *Balancer) passedOver(now time.Time, need Need, endpoint *snapshot.Endpoint) bool {
	if endpoint.Zone == b.settings.Zone {
		return false
	}
	if need.Near || need.Refused && !b.hasRoom(now, endpoint.Zone, need.Route) {
		return true
	}
	return b.isFar(endpoint) && (need.Refused && !b.hasRoomFar(now, endpoint, need.Route) || b.isLost(now, endpoint) || b.isTooFar(need, endpoint))
}
