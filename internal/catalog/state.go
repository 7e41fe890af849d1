package catalog

import (
	"cmp"
	"slices"
)

// maxFormer bounds the configurations that are kept to tell differences from.
const maxFormer = 8

// maxRemoved bounds the removals that are remembered for peers that are behind.
const maxRemoved = 1024

// State joins batches. Knowledge only grows: a batch that is older than what
// is held changes nothing. It is not safe for use by several goroutines.
type State struct {
	revision      uint64 // the store's revision that is known whole
	floor         uint64 // changes after this one are known one by one
	configuration *Configuration
	configuredAt  uint64           // revision of the configuration
	former        []*Configuration // those before it, oldest first
	instances     map[string]record
	evacuations   map[string]evacuation // by zone, those that were taken back included
	removed       []removal             // oldest first
	lapsed        map[string]Instance   // by id: those whose records are gone without a word of leaving
}

type record struct {
	instance Instance
	revision uint64
}

type evacuation struct {
	Evacuation
	revision uint64
}

type removal struct {
	id       string
	revision uint64
}

// NewState returns the state of a node that knows nothing.
func NewState() *State {
	return &State{instances: map[string]record{}, evacuations: map[string]evacuation{}, lapsed: map[string]Instance{}}
}

// Revision returns the store's revision up to which everything is known, 0
// when nothing is.
func (s *State) Revision() uint64 { return s.revision }

// Configuration returns the newest configuration, nil when none is known. It
// must not be changed.
func (s *State) Configuration() *Configuration { return s.configuration }

// Instances returns the recorded instances, sorted by id. Of several at one
// address only the one recorded last counts: the others have ended without a
// word, and their records are still to be removed.
func (s *State) Instances() []Instance {
	latest := make(map[string]record, len(s.instances))
	for _, held := range s.instances {
		if other, known := latest[held.instance.Address]; !known || held.revision > other.revision {
			latest[held.instance.Address] = held
		}
	}
	instances := make([]Instance, 0, len(latest))
	for _, held := range latest {
		instances = append(instances, held.instance)
	}
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// Join takes a batch in. It reports whether the batch could be used, and
// whether it changed anything: a batch that starts after what is known leaves a
// gap and can't be used.
func (s *State) Join(batch Batch) (usable, changed bool) {
	if batch.Whole {
		return s.joinWhole(batch)
	}
	if batch.From > s.revision || s.revision == 0 {
		return false, false
	}
	for _, change := range batch.Changes {
		if change.Revision <= s.revision {
			continue
		}
		if !s.resolve(&change) {
			return false, changed
		}
		if s.apply(change) {
			changed = true
		}
	}
	s.revision = max(s.revision, batch.To)
	return true, changed
}

// joinWhole replaces what is known by a newer whole. One without a configuration leaves
// the one that is held. It can't be used when its configuration is told as the difference
// to another one than is held.
func (s *State) joinWhole(batch Batch) (usable, changed bool) {
	if batch.To <= s.revision {
		return true, false
	}
	changes := slices.Clone(batch.Changes)
	for index := range changes {
		if !s.resolve(&changes[index]) {
			return false, false
		}
	}
	before := s.instances
	s.instances = map[string]record{}
	s.evacuations = map[string]evacuation{}
	s.removed = nil
	s.floor = batch.To
	for _, change := range changes {
		s.apply(change)
	}
	s.lapseMissing(before)
	s.revision = batch.To
	return true, true
}

// resolve turns a difference into the configuration that it leads to. It reports
// false when the difference starts from another one than is held.
func (s *State) resolve(change *Change) bool {
	if change.Difference == nil {
		return true
	}
	change.Configuration = change.Difference.applyTo(s.configuration)
	return change.Configuration != nil
}

// apply takes one change in, in the order of revisions, and reports whether it
// changed anything that matters.
func (s *State) apply(change Change) bool {
	switch {
	case change.Configuration != nil:
		return s.configure(change)
	case change.Instance != nil:
		before, known := s.instances[change.Instance.ID]
		s.instances[change.Instance.ID] = record{instance: *change.Instance, revision: change.Revision}
		delete(s.lapsed, change.Instance.ID)
		return !known || before.instance != *change.Instance
	case change.Evacuation != nil:
		return s.evacuate(change)
	case change.Removed != "":
		return s.remove(change)
	default:
		return false
	}
}

// configure takes a configuration. A lower version never replaces a higher
// one, whatever the store's revision says.
func (s *State) configure(change Change) bool {
	if s.configuration != nil && change.Configuration.Version < s.configuration.Version {
		return false
	}
	fresh := s.configuration == nil || change.Configuration.Version > s.configuration.Version
	s.remember()
	s.configuration = change.Configuration
	s.configuredAt = change.Revision
	return fresh
}

// evacuate takes in whether a zone is evacuated.
func (s *State) evacuate(change Change) bool {
	before, known := s.evacuations[change.Evacuation.Zone]
	s.evacuations[change.Evacuation.Zone] = evacuation{Evacuation: *change.Evacuation, revision: change.Revision}
	return change.Evacuation.Ended != (!known || before.Ended)
}

// Evacuated returns the zones whose workers are to be sent nothing, sorted.
func (s *State) Evacuated() []string {
	var zones []string
	for zone, held := range s.evacuations {
		if !held.Ended {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// remember keeps the configuration that is about to be replaced.
func (s *State) remember() {
	if s.configuration == nil || slices.Contains(s.former, s.configuration) {
		return
	}
	s.former = append(s.former, s.configuration)
	if len(s.former) > maxFormer {
		s.former = s.former[1:]
	}
}

// configurationAfter tells the newest configuration to a peer that holds a
// version: what has changed, if that version is still kept here.
func (s *State) configurationAfter(version uint64) Change {
	for _, held := range s.former {
		if held.Version == version {
			return Change{Revision: s.configuredAt, Difference: differenceOf(held, s.configuration)}
		}
	}
	return Change{Revision: s.configuredAt, Configuration: s.configuration}
}

func (s *State) remove(change Change) bool {
	gone, known := s.instances[change.Removed]
	if known {
		s.lapse(gone.instance)
	}
	delete(s.instances, change.Removed)
	s.removed = append(s.removed, removal{id: change.Removed, revision: change.Revision})
	if len(s.removed) > maxRemoved {
		s.floor = max(s.floor, s.removed[0].revision)
		s.removed = s.removed[1:]
	}
	return known
}

// Position is what a node holds: the store's revision up to which it knows
// everything, and the version of its configuration; 0 for none.
type Position struct {
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
}

// Position returns what is held here.
func (s *State) Position() Position {
	position := Position{Revision: s.revision}
	if s.configuration != nil {
		position.Version = s.configuration.Version
	}
	return position
}

// Since returns the batch that leads from what a peer holds to what is known: the
// changes after it where they are known one by one, else the whole. Of a configuration
// the peer is told only what differs from the one that it holds, in a whole as well: after
// the store has dropped its history, all nodes of a zone need the whole at once, and 1600
// routes take 30 kB of a link for each of them.
func (s *State) Since(held Position) Batch {
	revision := held.Revision
	batch := Batch{From: revision, To: s.revision}
	if revision < s.floor || revision == 0 {
		batch = Batch{To: s.revision, Whole: true}
		revision = 0
	}
	if s.configuration != nil && s.configuredAt > revision && !(batch.Whole && held.Version == s.configuration.Version) {
		batch.Changes = append(batch.Changes, s.configurationAfter(held.Version))
	}
	for _, held := range s.instances {
		if held.revision > revision {
			instance := held.instance
			batch.Changes = append(batch.Changes, Change{Revision: held.revision, Instance: &instance})
		}
	}
	for _, held := range s.evacuations {
		if held.revision > revision && !(batch.Whole && held.Ended) {
			told := held.Evacuation
			batch.Changes = append(batch.Changes, Change{Revision: held.revision, Evacuation: &told})
		}
	}
	for _, gone := range s.removed {
		if gone.revision > revision && !batch.Whole {
			batch.Changes = append(batch.Changes, Change{Revision: gone.revision, Removed: gone.id})
		}
	}
	slices.SortFunc(batch.Changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return batch
}
