package traffic

// offerBounds is the maximum number of nodes to which one request is offered.
type offerBounds struct {
	total     int
	crossZone int // of these, in other zones
}

const (
	maxOffers      = 10  // regardless of how fast the link is
	minOffers      = 3   // regardless of how slow the link is
	crossZoneShare = 0.6 // share of the offers that may go to other zones
	// offerKilobytes is the approximate size of an offer and its refusal on a link, including
	// packet headers.
	offerKilobytes = 1.0
	// offerMilliseconds is the time on the machine's link that the offers of one request may
	// take. In overload each refused request takes all of it. On links of 5 Mbit/s, ten offers
	// left 23 % of the requests of an overload late or unserved, three left 17 %: the offers
	// of refused requests took link capacity from the bodies and responses of those that ran.
	// On links of 20 Mbit/s and more, ten offers find free slots that three miss.
	offerMilliseconds = 5.0
)

// boundOffers returns the bounds for a link of the given capacity in megabits per second, 0 if
// unknown.
func boundOffers(megabits float64) offerBounds {
	total := maxOffers
	if megabits > 0 {
		const kilobitsPerKilobyte = 8
		affordable := int(offerMilliseconds * megabits / (kilobitsPerKilobyte * offerKilobytes))
		total = min(max(affordable, minOffers), maxOffers)
	}
	return offerBounds{total: total, crossZone: int(crossZoneShare * float64(total))}
}
