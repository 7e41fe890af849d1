package claim

import (
	"maps"
	"slices"
	"time"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// maxPriors bounds the earlier configurations that a claim has to satisfy.
// With more of them claims are refused until some are settled.
const maxPriors = 8

// prior is an earlier configuration whose majorities are needed besides those
// of the present one. It is settled slot by slot: once a majority of the
// slot's group has left it for longer than records are held, no attempt
// decided under it can matter any more.
type prior struct {
	*configuration
	oldest version.Version      // the earliest version known to have had it in force
	left   map[string]time.Time // by worker, a time since which it has left the configuration
}

// settled reports whether the slot needs no majority of the prior any more.
func (p *prior) settled(slot int, now time.Time, hold time.Duration) bool {
	members := p.groups[slot]
	gone := members.count(func(worker string) bool {
		since, known := p.left[worker]
		return known && now.Sub(since) >= hold
	})
	return gone >= members.majority()
}

// service is what a node knows of one service: the group configurations, the
// records it holds as a replica and how far it has recovered.
type service struct {
	name    string
	current *configuration
	since   time.Time         // when current came into force here
	first   version.Version   // the version that brought it
	oldest  version.Version   // the earliest version known to have had current in force
	priors  []*prior          // oldest first
	nodes   map[string]string // node by worker, also of workers no longer declared
	live    map[string]string // node by worker, those said to be live now
	table   *table

	able      uint64 // bit set of slots in which this replica knows all its votes
	announced uint64 // bit set of slots whose present group knows this process
	recovery  recovery
	known     map[string]uint64 // by worker, the latest incarnation heard of
}

func newService(name string) *service {
	return &service{name: name, nodes: make(map[string]string), table: newTable(), known: make(map[string]uint64)}
}

// ready returns the slots in which the replica may vote.
func (s *service) ready() uint64 { return s.able & s.announced }

// isReady reports whether the replica may vote in the slot.
func (s *service) isReady(slot int) bool { return s.ready()&(1<<slot) != 0 }

// isAble reports whether the replica has lost none of its votes in the slot.
func (s *service) isAble(slot int) bool { return s.able&(1<<slot) != 0 }

// sameGroups reports whether another node's groups are the same and not from
// before this node's last change of them: declared workers may change back.
func (s *service) sameGroups(digest string, at version.Version) bool {
	return digest == s.current.digest && !s.first.After(at)
}

// groups returns the groups of a slot of which majorities are needed.
func (s *service) groups(slot int, now time.Time, hold time.Duration) []group {
	needed := []group{s.current.groups[slot]}
	for _, earlier := range s.priors {
		if !earlier.settled(slot, now, hold) {
			needed = append(needed, earlier.groups[slot])
		}
	}
	return needed
}

// members returns the workers of all groups of a slot, each once.
func members(groups []group) []string {
	var all []string
	for _, one := range groups {
		for _, worker := range one {
			if !slices.Contains(all, worker) {
				all = append(all, worker)
			}
		}
	}
	return all
}

// workers returns the names of all workers that are declared or were under a
// configuration that still counts, sorted.
func (s *service) workers() []string {
	all := make(map[string]bool)
	for _, worker := range s.current.workers {
		all[worker.Name] = true
	}
	for _, earlier := range s.priors {
		for _, worker := range earlier.workers {
			all[worker.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// adopt takes a new configuration. The one before becomes a prior. Slots in
// which the replica may vote stay so, as it has held every vote of its own
// since; the others start their recovery again under the new configuration.
func (s *service) adopt(next *configuration, first version.Version, now time.Time) bool {
	if s.current != nil && s.current.digest == next.digest {
		return false
	}
	if s.current != nil {
		s.addPrior(s.current, s.oldest)
	}
	s.oldest = first
	s.priors = slices.DeleteFunc(s.priors, func(p *prior) bool {
		if p.digest == next.digest {
			s.oldest = p.oldest // the workers changed back
		}
		return p.digest == next.digest
	})
	s.current, s.since, s.first = next, now, first
	s.announced = 0
	s.recovery.restart()
	return true
}

// addPrior adds an earlier configuration unless it is known, oldest first.
func (s *service) addPrior(earlier *configuration, oldest version.Version) {
	index := slices.IndexFunc(s.priors, func(p *prior) bool { return p.digest == earlier.digest })
	if index < 0 {
		index = len(s.priors)
		s.priors = append(s.priors, &prior{configuration: earlier, oldest: oldest, left: make(map[string]time.Time)})
	}
	if s.priors[index].oldest.After(oldest) {
		s.priors[index].oldest = oldest
	}
	slices.SortStableFunc(s.priors, func(a, b *prior) int { return a.oldest.Compare(b.oldest) })
}

// configuration returns the configuration of the workers, made if not known.
func (s *service) configuration(workers []Worker, size int) *configuration {
	digest := digestOf(sortWorkers(workers))
	if digest == s.current.digest {
		return s.current
	}
	for _, earlier := range s.priors {
		if earlier.digest == digest {
			return earlier.configuration
		}
	}
	return newConfiguration(s.name, workers, size)
}

// learnPriors takes in earlier configurations that another replica knows. It
// returns since when that replica has left each, by digest.
func (s *service) learnPriors(copied wire.ClaimCopy, size int, now time.Time) map[string]time.Time {
	left := make(map[string]time.Time)
	for index, list := range copied.Priors {
		workers := make([]Worker, 0, len(list))
		for _, worker := range list {
			workers = append(workers, Worker(worker))
		}
		learned := s.configuration(workers, size)
		if index < len(copied.PriorsLeftMS) && copied.PriorsLeftMS[index] >= 0 {
			left[learned.digest] = now.Add(-time.Duration(copied.PriorsLeftMS[index]) * time.Millisecond)
		}
		if learned.digest != s.current.digest && index < len(copied.PriorsFirst) {
			s.addPrior(learned, copied.PriorsFirst[index])
		}
	}
	return left
}

// knowsPriors reports whether all the digests are of configurations that this
// node counts.
func (s *service) knowsPriors(digests []string) bool {
	for _, digest := range digests {
		held := slices.ContainsFunc(s.priors, func(p *prior) bool { return p.digest == digest })
		if !held && digest != s.current.digest {
			return false
		}
	}
	return true
}

// priorDigests returns the digests of the earlier configurations that count.
func (s *service) priorDigests() []string {
	var digests []string
	for _, earlier := range s.priors {
		digests = append(digests, earlier.digest)
	}
	return digests
}

// exportPriors tells another replica the earlier configurations, and for how
// long this worker has left each.
func (s *service) exportPriors(reply *wire.ClaimCopy, self string, now time.Time) {
	for _, earlier := range s.priors {
		list := make([]wire.ClaimWorker, 0, len(earlier.workers))
		for _, worker := range earlier.workers {
			list = append(list, wire.ClaimWorker(worker))
		}
		leftMS := int64(-1)
		if since, known := earlier.left[self]; known {
			leftMS = now.Sub(since).Milliseconds() + 1
		}
		reply.Priors = append(reply.Priors, list)
		reply.PriorsFirst = append(reply.PriorsFirst, earlier.oldest)
		reply.PriorsLeftMS = append(reply.PriorsLeftMS, leftMS)
	}
}

// noteLeft records that a worker has been under the present configuration for
// a time, so that it has left all earlier ones for at least as long.
func (s *service) noteLeft(worker string, since time.Duration, now time.Time) {
	for _, earlier := range s.priors {
		at := now.Add(-since)
		if held, known := earlier.left[worker]; !known || at.Before(held) {
			earlier.left[worker] = at
		}
	}
}

// settle drops the priors that are settled in every slot and reports how many.
func (s *service) settle(now time.Time, hold time.Duration) int {
	before := len(s.priors)
	s.priors = slices.DeleteFunc(s.priors, func(p *prior) bool {
		for slot := range p.groups {
			if !p.settled(slot, now, hold) {
				return false
			}
		}
		return true
	})
	return before - len(s.priors)
}

// knownOf returns the incarnations that are known of the given workers.
func (s *service) knownOf(workers []string) map[string]uint64 {
	known := make(map[string]uint64, len(workers))
	for _, worker := range workers {
		if incarnation := s.known[worker]; incarnation != 0 {
			known[worker] = incarnation
		}
	}
	return known
}

// learnKnown joins incarnations that another replica knows of.
func (s *service) learnKnown(known map[string]uint64) {
	for worker, incarnation := range known {
		s.known[worker] = max(s.known[worker], incarnation)
	}
}
