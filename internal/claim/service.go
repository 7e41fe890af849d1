package claim

import (
	"maps"
	"slices"
	"time"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// maxPriors bounds the earlier configurations whose majorities a claim needs.
// With more of them, claims are refused until some are settled.
const maxPriors = 8

// prior is an earlier configuration whose majorities are required besides those
// of the current one. It is settled slot by slot: once a majority of the slot's
// group has left it for at least the retention period, no attempt decided under
// it can matter any more.
type prior struct {
	*configuration
	earliestVersion version.Version      // the earliest version known to have had it in force
	leftAt          map[string]time.Time // by worker, a time since which it has not used the configuration
}

// settled reports whether no majority of the prior is needed any more in the
// slot.
func (p *prior) settled(slot int, now time.Time, retention time.Duration) bool {
	members := p.groups[slot]
	departed := members.count(func(worker string) bool {
		since, known := p.leftAt[worker]
		return known && now.Sub(since) >= retention
	})
	return departed >= members.majority()
}

// serviceState is a node's state for one service: the group configurations, the
// records that it holds as a replica, and the progress of its recovery.
type serviceState struct {
	name             string
	current          *configuration
	currentSince     time.Time         // when current came into force on this node
	currentVersion   version.Version   // the version that introduced current
	earliestVersion  version.Version   // the earliest version known to have had current in force
	priors           []*prior          // oldest first
	nodeByWorker     map[string]string // also of workers no longer declared
	liveNodeByWorker map[string]string // only workers whose node is reported as live
	table            *table

	ableSlots      uint64 // bit set of the slots in which this replica has all its votes
	announcedSlots uint64 // bit set of the slots whose current group has this process's incarnation
	recovery       recovery
	incarnations   map[string]uint64 // by worker, the latest incarnation seen
}

func newServiceState(name string) *serviceState {
	return &serviceState{name: name, nodeByWorker: make(map[string]string), table: newTable(), incarnations: make(map[string]uint64)}
}

// readySlots returns the bit set of the slots in which the replica may vote.
func (s *serviceState) readySlots() uint64 { return s.ableSlots & s.announcedSlots }

// isReady reports whether the replica may vote in the slot.
func (s *serviceState) isReady(slot int) bool { return s.readySlots()&(1<<slot) != 0 }

// isAble reports whether the replica has all its votes in the slot.
func (s *serviceState) isAble(slot int) bool { return s.ableSlots&(1<<slot) != 0 }

// sameGroups reports whether another node's groups are the same and its version
// is not from before this node's last change of them. Equal digests alone do
// not suffice, since the declared workers may change back.
func (s *serviceState) sameGroups(digest string, at version.Version) bool {
	return digest == s.current.digest && !s.currentVersion.After(at)
}

// requiredGroups returns the groups of a slot whose majorities are required.
func (s *serviceState) requiredGroups(slot int, now time.Time, retention time.Duration) []group {
	needed := []group{s.current.groups[slot]}
	for _, earlier := range s.priors {
		if !earlier.settled(slot, now, retention) {
			needed = append(needed, earlier.groups[slot])
		}
	}
	return needed
}

// members returns the workers of all the groups, each once.
func members(groups []group) []string {
	var all []string
	for _, replicas := range groups {
		for _, worker := range replicas {
			if !slices.Contains(all, worker) {
				all = append(all, worker)
			}
		}
	}
	return all
}

// workers returns the sorted names of the workers of the current and all
// earlier configurations that are still required.
func (s *serviceState) workers() []string {
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

// adopt makes a configuration the current one and the previous one a prior.
// Slots in which the replica has all its votes stay so; the others restart
// their recovery under the new configuration. It reports whether anything
// changed.
func (s *serviceState) adopt(next *configuration, first version.Version, now time.Time) bool {
	if s.current != nil && s.current.digest == next.digest {
		return false
	}
	if s.current != nil {
		s.addPrior(s.current, s.earliestVersion)
	}
	s.earliestVersion = first
	s.priors = slices.DeleteFunc(s.priors, func(p *prior) bool {
		if p.digest == next.digest {
			s.earliestVersion = p.earliestVersion // the declared workers changed back
		}
		return p.digest == next.digest
	})
	s.current, s.currentSince, s.currentVersion = next, now, first
	s.announcedSlots = 0
	s.recovery.restart()
	return true
}

// addPrior adds an earlier configuration, or lowers its earliest version if it
// is present. The priors are kept oldest first.
func (s *serviceState) addPrior(earlier *configuration, oldest version.Version) {
	index := slices.IndexFunc(s.priors, func(p *prior) bool { return p.digest == earlier.digest })
	if index < 0 {
		index = len(s.priors)
		s.priors = append(s.priors, &prior{configuration: earlier, earliestVersion: oldest, leftAt: make(map[string]time.Time)})
	}
	if s.priors[index].earliestVersion.After(oldest) {
		s.priors[index].earliestVersion = oldest
	}
	slices.SortStableFunc(s.priors, func(a, b *prior) int { return a.earliestVersion.Compare(b.earliestVersion) })
}

// findConfiguration returns the configuration of the workers. It computes a new
// one if the workers match neither the current one nor a prior.
func (s *serviceState) findConfiguration(workers []Worker, size int) *configuration {
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

// mergePriors adds the earlier configurations of another replica. It returns
// the time since which that replica has left each of them, by digest.
func (s *serviceState) mergePriors(copied wire.ClaimCopy, size int, now time.Time) map[string]time.Time {
	left := make(map[string]time.Time)
	for index, list := range copied.Priors {
		workers := make([]Worker, 0, len(list))
		for _, worker := range list {
			workers = append(workers, Worker(worker))
		}
		learned := s.findConfiguration(workers, size)
		if index < len(copied.PriorsLeftMS) && copied.PriorsLeftMS[index] >= 0 {
			left[learned.digest] = now.Add(-time.Duration(copied.PriorsLeftMS[index]) * time.Millisecond)
		}
		if learned.digest != s.current.digest && index < len(copied.PriorsFirst) {
			s.addPrior(learned, copied.PriorsFirst[index])
		}
	}
	return left
}

// hasPriors reports whether each digest is that of the current configuration or
// of a prior of this node.
func (s *serviceState) hasPriors(digests []string) bool {
	for _, digest := range digests {
		found := slices.ContainsFunc(s.priors, func(p *prior) bool { return p.digest == digest })
		if !found && digest != s.current.digest {
			return false
		}
	}
	return true
}

// priorDigests returns the digests of the priors.
func (s *serviceState) priorDigests() []string {
	var digests []string
	for _, earlier := range s.priors {
		digests = append(digests, earlier.digest)
	}
	return digests
}

// exportPriors adds the priors to a message for another replica, with the time
// for which this worker has left each.
func (s *serviceState) exportPriors(reply *wire.ClaimCopy, self string, now time.Time) {
	for _, earlier := range s.priors {
		list := make([]wire.ClaimWorker, 0, len(earlier.workers))
		for _, worker := range earlier.workers {
			list = append(list, wire.ClaimWorker(worker))
		}
		leftMS := int64(-1)
		if since, known := earlier.leftAt[self]; known {
			leftMS = now.Sub(since).Milliseconds() + 1
		}
		reply.Priors = append(reply.Priors, list)
		reply.PriorsFirst = append(reply.PriorsFirst, earlier.earliestVersion)
		reply.PriorsLeftMS = append(reply.PriorsLeftMS, leftMS)
	}
}

// recordLeft records that a worker has used the current configuration for the
// given time, so that it has left all earlier ones for at least as long.
func (s *serviceState) recordLeft(worker string, elapsed time.Duration, now time.Time) {
	for _, earlier := range s.priors {
		at := now.Add(-elapsed)
		if recorded, known := earlier.leftAt[worker]; !known || at.Before(recorded) {
			earlier.leftAt[worker] = at
		}
	}
}

// dropSettledPriors removes the priors that are settled in every slot and
// returns how many it removed.
func (s *serviceState) dropSettledPriors(now time.Time, retention time.Duration) int {
	before := len(s.priors)
	s.priors = slices.DeleteFunc(s.priors, func(p *prior) bool {
		for slot := range p.groups {
			if !p.settled(slot, now, retention) {
				return false
			}
		}
		return true
	})
	return before - len(s.priors)
}

// incarnationsOf returns the recorded incarnations of the given workers.
func (s *serviceState) incarnationsOf(workers []string) map[string]uint64 {
	incarnations := make(map[string]uint64, len(workers))
	for _, worker := range workers {
		if incarnation := s.incarnations[worker]; incarnation != 0 {
			incarnations[worker] = incarnation
		}
	}
	return incarnations
}

// mergeIncarnations raises the recorded incarnations to those of another
// replica.
func (s *serviceState) mergeIncarnations(incarnations map[string]uint64) {
	for worker, incarnation := range incarnations {
		s.incarnations[worker] = max(s.incarnations[worker], incarnation)
	}
}
