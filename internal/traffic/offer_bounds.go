package traffic

// offerBounds are to how many nodes one request is offered.
type offerBounds struct {
	most     int
	crossing int // of these, in other zones
}

const (
	mostOffers  = 10  // however fast the link is
	leastOffers = 3   // however slow it is
	crossingOf  = 0.6 // part of the offers that may go to other zones
	// offerKilobytes is about what an offer and its refusal take of a link, with the
	// headers of their packets.
	offerKilobytes = 1.0
	// offerTime is the time of the machine's link, in milliseconds, that the offers of one
	// request may take. In an overload each refused request takes all of it. On links of
	// 5 Mbit/s, ten offers left 23 % of the requests of an overload late or unserved, three
	// 17 %: the offers of refused requests took the link from the bodies and answers of
	// those that ran. On links of 20 Mbit/s and more, ten find free slots that three miss.
	offerTime = 5.0
)

// boundOffers returns the bounds of a machine whose link carries so many megabits a
// second, 0 where that is not known.
func boundOffers(megabits float64) offerBounds {
	most := mostOffers
	if megabits > 0 {
		const kilobitsPerKilobyte = 8
		affordable := int(offerTime * megabits / (kilobitsPerKilobyte * offerKilobytes))
		most = min(max(affordable, leastOffers), mostOffers)
	}
	return offerBounds{most: most, crossing: int(crossingOf * float64(most))}
}
