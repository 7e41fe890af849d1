package catalog

import (
	"cmp"
	"slices"
)

// maxRemoved bounds the removals that are remembered for peers that are behind.
const maxRemoved = 1024

// State joins batches. Knowledge only grows: a batch that is older than what
// is held changes nothing. It is not safe for use by several goroutines.
type State struct {
	revision      uint64 // the store's revision that is known whole
	floor         uint64 // changes after this one are known one by one
	configuration *Configuration
	configuredAt  uint64 // revision of the configuration
	instances     map[string]record
	removed       []removal // oldest first
}

type record struct {
	instance Instance
	revision uint64
}

type removal struct {
	id       string
	revision uint64
}

// NewState returns the state of a node that knows nothing.
func NewState() *State { return &State{instances: map[string]record{}} }

// Revision returns the store's revision up to which everything is known, 0
// when nothing is.
func (s *State) Revision() uint64 { return s.revision }

// Configuration returns the newest configuration, nil when none is known. It
// must not be changed.
func (s *State) Configuration() *Configuration { return s.configuration }

// Instances returns the recorded instances, sorted by id.
func (s *State) Instances() []Instance {
	instances := make([]Instance, 0, len(s.instances))
	for _, held := range s.instances {
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
		return true, s.joinWhole(batch)
	}
	if batch.From > s.revision || s.revision == 0 {
		return false, false
	}
	for _, change := range batch.Changes {
		if change.Revision > s.revision && s.apply(change) {
			changed = true
		}
	}
	s.revision = max(s.revision, batch.To)
	return true, changed
}

// joinWhole replaces what is known by a newer whole.
func (s *State) joinWhole(batch Batch) bool {
	if batch.To <= s.revision {
		return false
	}
	s.instances = map[string]record{}
	s.removed = nil
	s.floor = batch.To
	for _, change := range batch.Changes {
		s.apply(change)
	}
	s.revision = batch.To
	return true
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
		return !known || before.instance != *change.Instance
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
	s.configuration = change.Configuration
	s.configuredAt = change.Revision
	return fresh
}

func (s *State) remove(change Change) bool {
	_, known := s.instances[change.Removed]
	delete(s.instances, change.Removed)
	s.removed = append(s.removed, removal{id: change.Removed, revision: change.Revision})
	if len(s.removed) > maxRemoved {
		s.floor = max(s.floor, s.removed[0].revision)
		s.removed = s.removed[1:]
	}
	return known
}

// Since returns the batch that leads from a revision to what is known: the
// changes after it where they are known one by one, else the whole.
func (s *State) Since(revision uint64) Batch {
	batch := Batch{From: revision, To: s.revision}
	if revision < s.floor || revision == 0 {
		batch = Batch{To: s.revision, Whole: true}
		revision = 0
	}
	if s.configuration != nil && s.configuredAt > revision {
		batch.Changes = append(batch.Changes, Change{Revision: s.configuredAt, Configuration: s.configuration})
	}
	for _, held := range s.instances {
		if held.revision > revision {
			instance := held.instance
			batch.Changes = append(batch.Changes, Change{Revision: held.revision, Instance: &instance})
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
