package claim

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Worker is a declared worker of a service. Its node is a replica.
type Worker struct {
	Name string
	Zone string
}

// slotCount is the number of slots that the keys of a service hash to. Each
// slot has one replica group, and a replica recovers slot by slot.
const slotCount = 64

// allSlots has the bit of each slot set.
const allSlots = ^uint64(0)

// slotOf returns the slot of a key.
func slotOf(key string) int {
	return int(xxhash.Sum64String(key) % slotCount)
}

// group is the replicas of one slot.
type group []string

// majority returns the smallest number of replicas that is more than half.
func (g group) majority() int { return len(g)/2 + 1 }

// contains reports whether the worker is a replica of the group.
func (g group) contains(worker string) bool { return slices.Contains(g, worker) }

// requiredSources returns how many other replicas a recovering replica needs
// copies from: a majority of the group. Every majority that its earlier process
// may have voted in then includes one of them, as does every majority that was
// informed of a replaced process. A group of two or fewer has no majority of
// others; there, if votesExpired, the age of the process makes up for it.
func (g group) requiredSources(self string, votesExpired bool) int {
	if votesExpired && g.contains(self) {
		return min(g.majority(), len(g)-1)
	}
	return g.majority()
}

// count returns the number of replicas that satisfy the predicate.
func (g group) count(predicate func(worker string) bool) int {
	total := 0
	for _, worker := range g {
		if predicate(worker) {
			total++
		}
	}
	return total
}

// configuration is one list of declared workers and the groups derived from it.
type configuration struct {
	digest  string
	workers []Worker
	groups  [slotCount]group
}

// sortWorkers returns the workers sorted by name, without duplicates.
func sortWorkers(workers []Worker) []Worker {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(sorted, func(a, b Worker) bool { return a.Name == b.Name })
}

// digestOf returns the digest of sorted workers.
func digestOf(sorted []Worker) string {
	digest := xxhash.New()
	for _, worker := range sorted {
		fmt.Fprintf(digest, "%q %q\n", worker.Name, worker.Zone)
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}

// newConfiguration computes the groups of all slots. The order of the workers
// does not matter.
func newConfiguration(service string, workers []Worker, size int) *configuration {
	sorted := sortWorkers(workers)
	result := &configuration{digest: digestOf(sorted), workers: sorted}
	for slot := range result.groups {
		result.groups[slot] = chooseGroup(service, slot, sorted, size)
	}
	return result
}

// rankedWorker is a worker with its rendezvous weight and its rank in its zone.
type rankedWorker struct {
	worker   Worker
	weight   uint64
	zoneRank int
}

// chooseGroup ranks the workers of each zone by rendezvous hash (Thaler and
// Ravishankar, 1998) and takes the first of each zone, then the second of each,
// until the group is full. The group thus spans as many zones as possible.
func chooseGroup(service string, slot int, workers []Worker, size int) group {
	candidates := make([]rankedWorker, 0, len(workers))
	for _, worker := range workers {
		weight := xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", service, slot, worker.Name))
		candidates = append(candidates, rankedWorker{worker: worker, weight: weight})
	}
	slices.SortFunc(candidates, func(a, b rankedWorker) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.worker.Name, b.worker.Name))
	})
	taken := make(map[string]int)
	for index := range candidates {
		zone := candidates[index].worker.Zone
		candidates[index].zoneRank = taken[zone]
		taken[zone]++
	}
	slices.SortStableFunc(candidates, func(a, b rankedWorker) int { return cmp.Compare(a.zoneRank, b.zoneRank) })
	count := min(size, len(candidates))
	if count > 2 {
		count -= 1 - count%2 // an even group needs one more vote and tolerates no more failures
	}
	chosen := make(group, 0, count)
	for _, candidate := range candidates[:count] {
		chosen = append(chosen, candidate.worker.Name)
	}
	return chosen
}
