package catalog

import (
	"cmp"
	"slices"
)

// maxPrevious bounds the configurations that are retained to compute differences from.
const maxPrevious = 8

// maxRemovals bounds the removals that are retained for peers that are behind.
const maxRemovals = 1024

// State is a catalog built from batches. It never goes back: a batch whose Point is older than
// the current one changes nothing. It is not safe for concurrent use.
type State struct {
	point                 Point  // up to which the state is complete; all revisions here are of its era
	historyFloor          uint64 // later changes are known individually
	configuration         *Configuration
	configurationRevision uint64           // revision of the store that introduced the configuration, as far as is known
	previous              []*Configuration // earlier configurations, oldest first
	instances             map[string]record
	evacuations           map[string]evacuation // by zone, ended evacuations included
	removals              []removal             // oldest first
	lapsed                map[string]Instance   // by id: instances whose records were removed although they had not announced that they leave
	departures            departures
	conflicts             conflicts
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

// NewState returns an empty state.
func NewState() *State {
	return &State{
		instances: map[string]record{}, evacuations: map[string]evacuation{}, lapsed: map[string]Instance{},
		departures: newDepartures(), conflicts: newConflicts(),
	}
}

// Revision returns the store revision up to which the state is complete, 0 if the state is empty.
// It decreases when the store is restored from a backup.
func (s *State) Revision() uint64 { return s.point.Revision }

// Point returns the point of the store up to which the state is complete.
func (s *State) Point() Point { return s.point }

// Configuration returns the newest configuration, nil if there is none. It must not be changed.
func (s *State) Configuration() *Configuration { return s.configuration }

// Instances returns the recorded instances, sorted by id. Of several at one address only one
// counts, see latestRecords. Instances in conflict after a restore are left out, and so are those
// of services that are not in the configuration: such a record need not come from a worker and
// must not hide one.
func (s *State) Instances() []Instance {
	latest := s.latestByAddress()
	instances := make([]Instance, 0, len(latest))
	for _, record := range latest {
		instances = append(instances, record.instance)
	}
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// Apply applies a batch. It reports whether the batch was usable and whether it changed anything.
// A batch that starts after the current revision leaves a gap and is not usable. Changes of a
// later era are not usable either, even if their revisions fit, because the changes before them
// differ from those known here.
func (s *State) Apply(batch Batch) (usable, changed bool) {
	if batch.Era < s.point.Era {
		return true, false
	}
	if batch.Snapshot {
		return s.applySnapshot(batch)
	}
	if batch.Era > s.point.Era || batch.From > s.point.Revision || s.point.Revision == 0 {
		return false, false
	}
	for _, change := range batch.Changes {
		if s.isKnown(change) {
			continue
		}
		if !s.resolveDifference(&change) {
			return false, changed
		}
		if s.applyChange(change) {
			changed = true
		}
	}
	s.point.Revision = max(s.point.Revision, batch.To)
	return true, changed
}

// isKnown reports whether a change has already been applied. A configuration version may be newer
// than the current one although its revision is not, if a peer received it before the store was
// restored from a backup.
func (s *State) isKnown(change Change) bool {
	return change.Revision <= s.point.Revision && change.version() <= s.Position().Version
}

// applySnapshot replaces the state by a newer snapshot. A snapshot without a configuration leaves
// the current one. A snapshot is not usable if its configuration is a difference to another
// version than the current one.
func (s *State) applySnapshot(batch Batch) (usable, changed bool) {
	if batch.Point().Compare(s.point) <= 0 {
		return true, false
	}
	changes := slices.Clone(batch.Changes)
	for index := range changes {
		if !s.resolveDifference(&changes[index]) {
			return false, false
		}
	}
	restored := s.point.Revision > 0 && batch.Era > s.point.Era
	prior := s.priorState()
	var resurrected map[string]struct{}
	if restored {
		resurrected = s.resurrectedRecords(changes, prior)
		s.conflicts = newConflicts()
		s.configurationRevision = batch.To // the backup may have an older configuration; peers get the current one with the snapshot
	}
	s.instances = map[string]record{}
	s.evacuations = map[string]evacuation{}
	s.removals = nil
	s.historyFloor = batch.To
	for _, change := range changes {
		s.applyChange(change)
	}
	if restored {
		s.recordConflicts(resurrected, prior)
	}
	s.addMissingToLapsed(prior.latest, restored)
	s.point = batch.Point()
	return true, true
}

// resolveDifference sets the configuration that a difference leads to. It returns false if the
// difference starts from another version than the current one.
func (s *State) resolveDifference(change *Change) bool {
	if change.Difference == nil {
		return true
	}
	change.Configuration = change.Difference.applyTo(s.configuration)
	return change.Configuration != nil
}

// applyChange applies one change; changes come in the order of revisions. It reports whether the
// change had an effect.
func (s *State) applyChange(change Change) bool {
	switch {
	case change.Configuration != nil:
		return s.applyConfiguration(change)
	case change.Instance != nil:
		return s.applyRecord(change)
	case change.Evacuation != nil:
		return s.applyEvacuation(change)
	case change.Removed != "":
		return s.applyRemoval(change)
	default:
		return false
	}
}

// applyRecord applies a worker's record. An incarnation that has announced that it leaves stays
// leaving, even if a restored store no longer knows this.
func (s *State) applyRecord(change Change) bool {
	instance := *change.Instance
	before, known := s.instances[instance.ID]
	if known && before.instance.StartedMs != instance.StartedMs {
		s.departures.record(&before.instance)
	}
	instance.Draining = instance.Draining || s.departures.isLeaving(&instance)
	if instance.Draining {
		s.departures.record(&instance)
	}
	s.departures.remove(&instance)
	s.instances[instance.ID] = record{instance: instance, revision: change.Revision}
	delete(s.lapsed, instance.ID)
	inConflict := s.conflicts.hasInstance(instance.ID)
	delete(s.conflicts.instances, instance.ID)
	return !known || inConflict || before.instance != instance
}

// applyConfiguration applies a configuration. A lower version never replaces a higher one,
// whatever the store's revision is.
func (s *State) applyConfiguration(change Change) bool {
	if s.configuration != nil && change.Configuration.Version < s.configuration.Version {
		return false
	}
	newer := s.configuration == nil || change.Configuration.Version > s.configuration.Version
	s.retainConfiguration()
	s.configuration = change.Configuration
	s.configurationRevision = change.Revision
	return newer
}

// retainConfiguration retains the configuration that is about to be replaced.
func (s *State) retainConfiguration() {
	if s.configuration == nil || slices.Contains(s.previous, s.configuration) {
		return
	}
	s.previous = append(s.previous, s.configuration)
	if len(s.previous) > maxPrevious {
		s.previous = s.previous[1:]
	}
}

func (s *State) applyRemoval(change Change) bool {
	removed, known := s.instances[change.Removed]
	if known && !s.conflicts.hasInstance(change.Removed) {
		s.addLapsed(removed.instance)
	}
	if known {
		s.departures.record(&removed.instance)
	}
	delete(s.instances, change.Removed)
	delete(s.conflicts.instances, change.Removed)
	s.removals = append(s.removals, removal{id: change.Removed, revision: change.Revision})
	if len(s.removals) > maxRemovals {
		s.historyFloor = max(s.historyFloor, s.removals[0].revision)
		s.removals = s.removals[1:]
	}
	return known
}
