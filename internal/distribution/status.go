package distribution

import (
	"slices"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
)

// Status is a node's distribution state as shown to operators.
type Status struct {
	Active     version.Version // in force
	Staged     version.Version // newest complete one, in force or not
	Waiting    []Waiting       // bodies that the waiting version lacks
	Refused    []Refusal       // newest first, bounded
	Reader     bool            // whether this node reads the source
	Readers    []string        // the first is the root of the tree
	Parent     string          // in the first reader's tree, "" for the root
	Children   []string        // in the first reader's tree
	Fresh      bool            // whether this node may serve
	Phase      string          // starting, resumed or caught-up
	SourceFail string          // last failure to read the source, "" after a read
}

// Waiting is a body that has not arrived.
type Waiting struct {
	Version version.Version
	Key     snapshot.Key
	Since   time.Time
}

// Active returns the set in force, the empty set before the first activation.
func (m *Machine) Active() *snapshot.Set { return m.active }

// Status returns the state shown to operators.
func (m *Machine) Status() Status {
	status := Status{
		Active:  m.active.Version(),
		Staged:  m.newestComplete(),
		Refused: slices.Clone(m.refused),
		Reader:  m.isReader(),
		Fresh:   m.fresh,
		Phase:   string(m.catchUp.phase),
	}
	if m.catchUp.sourceErr != nil {
		status.SourceFail = m.catchUp.sourceErr.Error()
	}
	for _, reader := range m.view.readers {
		status.Readers = append(status.Readers, reader.name)
	}
	if leader := m.view.leader(); leader != "" {
		status.Parent = m.view.parentFor(leader)
		status.Children = slices.Clone(m.view.childrenFor(leader))
	}
	if m.waiting == nil {
		return status
	}
	for _, key := range m.waiting.set.Missing() {
		status.Waiting = append(status.Waiting, Waiting{m.waiting.version(), key, m.waiting.since})
	}
	return status
}
