package catalog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func instance(id string) *Instance { return &Instance{ID: id, Service: "shop"} }

func TestSnapshotReplacesAndBatchesExtend(t *testing.T) {
	s := NewState()
	usable, _ := s.Apply(Batch{From: 3, To: 4})
	must.False(t, usable) // the state is empty
	_, changed := s.Apply(Batch{Snapshot: true, To: 5, Changes: []Change{
		{Revision: 2, Configuration: &Configuration{Version: 7}}, {Revision: 5, Instance: instance("a")},
	}})
	must.True(t, changed)
	usable, _ = s.Apply(Batch{From: 6, To: 7, Changes: []Change{{Revision: 7, Removed: "a"}}})
	must.False(t, usable) // revision 6 would be missing
	_, changed = s.Apply(Batch{From: 5, To: 7, Changes: []Change{{Revision: 7, Removed: "a"}}})
	must.True(t, changed)
	must.SliceEmpty(t, s.Instances())
	must.Eq(t, 7, s.Configuration().Version)
	_, changed = s.Apply(Batch{Snapshot: true, To: 6, Changes: []Change{{Revision: 5, Instance: instance("a")}}})
	must.False(t, changed) // older than the state
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	s := NewState()
	s.Apply(Batch{Snapshot: true, To: 5, Changes: []Change{{Revision: 5, Configuration: &Configuration{Version: 9}}}})
	s.Apply(Batch{From: 5, To: 6, Changes: []Change{{Revision: 6, Configuration: &Configuration{Version: 8}}}})
	must.Eq(t, 9, s.Configuration().Version)
	s.Apply(Batch{Snapshot: true, To: 7})
	must.Eq(t, 9, s.Configuration().Version) // a snapshot without a configuration keeps the current one
}

// An instance whose record is removed without announcing that it leaves may still run. It stays
// in Lapsed until its record is back, another instance records its address, or it is forgotten.
// An instance that had announced that it leaves is not listed.
func TestRemovedInstanceIsLapsedUnlessLeaving(t *testing.T) {
	lapsed := func(changes ...Change) []Instance {
		s := NewState()
		leaving := &Instance{ID: "b", Address: "10.0.0.2:80", Draining: true}
		s.Apply(Batch{Snapshot: true, To: 2, Changes: []Change{
			{Revision: 1, Instance: &Instance{ID: "a", Address: "10.0.0.1:80"}}, {Revision: 2, Instance: leaving},
		}})
		for index, change := range changes {
			change.Revision = uint64(index + 3)
			s.Apply(Batch{From: change.Revision - 1, To: change.Revision, Changes: []Change{change}})
		}
		return s.Lapsed()
	}
	removed := Change{Removed: "a"}
	must.SliceEmpty(t, lapsed())
	must.Eq(t, []Instance{{ID: "a", Address: "10.0.0.1:80"}}, lapsed(removed))
	must.SliceEmpty(t, lapsed(Change{Removed: "b"}))
	must.SliceEmpty(t, lapsed(removed, Change{Instance: &Instance{ID: "a", Address: "10.0.0.1:80"}}))
	must.SliceEmpty(t, lapsed(removed, Change{Instance: &Instance{ID: "c", Address: "10.0.0.1:80"}}))

	s := NewState()
	s.Apply(Batch{Snapshot: true, To: 1, Changes: []Change{{Revision: 1, Instance: instance("a")}}})
	s.Apply(Batch{Snapshot: true, To: 2}) // a snapshot that lacks the instance
	must.Len(t, 1, s.Lapsed())
	s.ForgetLapsed("a")
	must.SliceEmpty(t, s.Lapsed())
}

// Reordered, repeated and lost batches lead to the same state as the store's.
func TestBatchesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := NewState()
		truth.Apply(Batch{Snapshot: true, To: 1})
		behind := NewState()
		behind.Apply(truth.Since(Position{}))
		var sent []Batch
		for revision := uint64(2); revision < 30; revision++ {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			change := Change{Revision: revision, Instance: instance(id)}
			if rapid.Bool().Draw(t, "gone") {
				change = Change{Revision: revision, Removed: id}
			}
			truth.Apply(Batch{From: revision - 1, To: revision, Changes: []Change{change}})
			sent = append(sent, truth.Since(behind.Position()))
			if rapid.Bool().Draw(t, "deliver") {
				behind.Apply(rapid.SampledFrom(sent).Draw(t, "batch"))
			}
		}
		if behind.Revision() > truth.Revision() {
			t.Fatalf("the follower is ahead of the store")
		}
		behind.Apply(truth.Since(behind.Position()))
		must.Eq(t, truth.Instances(), behind.Instances())
	})
}

func TestValidateNamesTheDefect(t *testing.T) {
	good := func() *Configuration {
		return &Configuration{
			Services: map[string]Service{"shop": {}},
			Routes:   []Route{{Name: "r", Host: "h", PathPrefix: "/p/", Timeout: 1, Targets: []WeightedTarget{{Service: "shop", Weight: 1}}}},
		}
	}
	must.NoError(t, good().Validate())
	for name, corrupt := range map[string]func(*Configuration){
		"two routes are named":  func(c *Configuration) { c.Routes = append(c.Routes, c.Routes[0]) },
		"has host":              func(c *Configuration) { c.Routes[0].Host = "" },
		"has prefix":            func(c *Configuration) { c.Routes[0].PathPrefix = "/p" },
		"has timeout":           func(c *Configuration) { c.Routes[0].Timeout = 0 },
		"has no targets":        func(c *Configuration) { c.Routes[0].Targets = nil },
		"which is not declared": func(c *Configuration) { c.Routes[0].Targets[0].Service = "other" },
		"has weight -1":         func(c *Configuration) { c.Routes[0].Targets[0].Weight = -1 },
		"tenant 0 has no name":  func(c *Configuration) { c.Tenants = []Tenant{{}} },
		"two tenants are named": func(c *Configuration) { c.Tenants = []Tenant{{Name: "a"}, {Name: "a"}} },
		"requests a second":     func(c *Configuration) { c.Tenants = []Tenant{{Name: "a", RatePerSecond: -1}} },
		"have the same key": func(c *Configuration) {
			shared := []KeyDigest{DigestKey("k")}
			c.Tenants = []Tenant{{Name: "a", Keys: shared}, {Name: "b", Keys: shared}}
		},
		"has no weight": func(c *Configuration) { c.Routes[0].Targets[0].Weight = 0 },
	} {
		bad := good()
		corrupt(bad)
		must.ErrorContains(t, bad.Validate(), name)
	}
}

// drawConfiguration draws routes whose names come from a small set.
func drawConfiguration(t *rapid.T, version uint64) *Configuration {
	configuration := &Configuration{Version: version, Services: map[string]Service{}}
	for _, service := range []string{"shop", "press"} {
		if rapid.Bool().Draw(t, "declared") {
			configuration.Services[service] = Service{MaxConnections: rapid.IntRange(1, 2).Draw(t, "connections")}
		}
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if rapid.Bool().Draw(t, "there") {
			configuration.Routes = append(configuration.Routes, Route{
				Name: name, Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
				Targets: []WeightedTarget{{Service: "shop", Weight: rapid.IntRange(1, 2).Draw(t, "weight")}},
			})
		}
	}
	configuration.Tenants = drawTenants(t)
	return configuration
}

// drawTenants draws nil, an empty list or some tenants.
func drawTenants(t *rapid.T) []Tenant {
	if rapid.Bool().Draw(t, "keyless") {
		return nil
	}
	tenants := []Tenant{}
	for _, name := range []string{"press", "shop", "till"} {
		if rapid.Bool().Draw(t, "customer") {
			key := DigestKey(name + rapid.SampledFrom([]string{"1", "2"}).Draw(t, "key"))
			tenants = append(tenants, Tenant{Name: name, Keys: []KeyDigest{key}, RatePerSecond: rapid.Float64Range(0, 2).Draw(t, "rate")})
		}
	}
	return tenants
}

// sortedTenants sorts tenants by name, since their order has no meaning.
func sortedTenants(tenants []Tenant) []Tenant {
	sorted := slices.Clone(tenants)
	slices.SortFunc(sorted, func(a, b Tenant) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

// sortedRoutes sorts routes by name, since their order has no meaning.
func sortedRoutes(routes []Route) []Route {
	sorted := slices.Clone(routes)
	slices.SortFunc(sorted, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

// A peer with any earlier version of the configuration, even one received from another node,
// arrives at the same configuration.
func TestDifferencesYieldSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth, other := NewState(), NewState()
		for revision := uint64(1); revision < 14; revision++ {
			change := Change{Revision: revision, Configuration: drawConfiguration(t, revision)}
			batch := Batch{From: revision - 1, To: revision, Snapshot: revision == 1, Changes: []Change{change}}
			other.Apply(batch)
			if revision == 1 || rapid.Bool().Draw(t, "seen") {
				truth.Apply(other.Since(Position{Point: truth.Point()})) // full configurations, some of them missed
			}
			peer := NewState()
			peer.Apply(other.Since(Position{}))
			if truth.Revision() < peer.Revision() {
				continue
			}
			for next := revision + 1; next < revision+4; next++ {
				truth.Apply(Batch{From: next - 1, To: next, Changes: []Change{{Revision: next, Configuration: drawConfiguration(t, next)}}})
			}
			usable, _ := peer.Apply(roundTrip(t, truth.Since(peer.Position())))
			must.True(t, usable)
			must.Eq(t, sortedRoutes(truth.Configuration().Routes), sortedRoutes(peer.Configuration().Routes))
			must.Eq(t, sortedTenants(truth.Configuration().Tenants), sortedTenants(peer.Configuration().Tenants))
			must.Eq(t, truth.Configuration().Tenants == nil, peer.Configuration().Tenants == nil)
			must.Eq(t, truth.Configuration().Services, peer.Configuration().Services)
			must.Eq(t, truth.Configuration().Version, peer.Configuration().Version)
			return
		}
	})
}

// roundTrip returns a batch after encoding and decoding.
func roundTrip(t *rapid.T, batch Batch) Batch {
	line, err := json.Marshal(batch)
	must.NoError(t, err)
	var received Batch
	must.NoError(t, json.Unmarshal(line, &received))
	return received
}

// A change of one route transfers only that route.
func TestDifferenceIsSmall(t *testing.T) {
	s := NewState()
	first := &Configuration{Version: 1, Services: map[string]Service{"shop": {}}}
	for index := range 300 {
		first.Routes = append(first.Routes, Route{Name: fmt.Sprint(index), Host: "shop.example"})
	}
	second := &Configuration{Version: 2, Services: map[string]Service{"shop": {}}, Routes: slices.Clone(first.Routes)}
	second.Routes[7].Priority = 1
	s.Apply(Batch{Snapshot: true, To: 1, Changes: []Change{{Revision: 1, Configuration: first}}})
	position := s.Position()
	s.Apply(Batch{From: 1, To: 2, Changes: []Change{{Revision: 2, Configuration: second}}})
	batch := s.Since(position)
	must.Len(t, 1, batch.Changes)
	must.Len(t, 1, batch.Changes[0].Difference.Put)
	must.SliceEmpty(t, batch.Changes[0].Difference.Remove)
	must.MapEmpty(t, batch.Changes[0].Difference.Services)
}

// A worker that crashed and restarted has two records until the first one is removed. The later
// one counts, whichever id sorts first; otherwise the worker's node rejected requests sent to the
// running worker.
func TestLatestInstanceAtAddressCounts(t *testing.T) {
	for _, ids := range [][2]string{{"i-a", "i-b"}, {"i-b", "i-a"}} {
		state := NewState()
		crashed := Instance{ID: ids[0], Service: "s", Address: "10.0.0.1:80"}
		started := Instance{ID: ids[1], Service: "s", Address: "10.0.0.1:80", Draining: true}
		other := Instance{ID: "i-c", Service: "s", Address: "10.0.0.2:80"}
		state.Apply(Batch{Snapshot: true, To: 2, Changes: []Change{{Revision: 1, Instance: &crashed}, {Revision: 2, Instance: &other}}})
		state.Apply(Batch{From: 2, To: 3, Changes: []Change{{Revision: 3, Instance: &started}}})
		must.Eq(t, []Instance{started, other}, state.Instances())
		state.Apply(Batch{From: 3, To: 4, Changes: []Change{{Revision: 4, Removed: ids[1]}}})
		must.Eq(t, []Instance{crashed, other}, state.Instances())
	}
}

// Evacuations and their ends reach a peer both as changes and in a snapshot.
func TestEvacuationsReachPeers(t *testing.T) {
	s, peer := NewState(), NewState()
	s.Apply(Batch{Snapshot: true, To: 2, Changes: []Change{{Revision: 1, Configuration: &Configuration{Version: 1}}, {Revision: 2, Evacuation: &Evacuation{Zone: "z1"}}}})
	peer.Apply(s.Since(peer.Position()))
	must.Eq(t, []string{"z1"}, peer.Evacuated())
	for revision, change := range []Evacuation{{Zone: "z2"}, {Zone: "z1", Ended: true}} {
		_, changed := s.Apply(Batch{From: uint64(revision + 2), To: uint64(revision + 3), Changes: []Change{{Revision: uint64(revision + 3), Evacuation: &change}}})
		must.True(t, changed)
	}
	peer.Apply(s.Since(peer.Position()))
	must.Eq(t, []string{"z2"}, peer.Evacuated())
	must.Eq(t, []string{"z2"}, s.Evacuated())
	_, changed := s.Apply(Batch{Snapshot: true, To: 9}) // read again while no zone is evacuated
	must.True(t, changed)
	must.SliceEmpty(t, s.Evacuated())
}

// A snapshot for a peer that has a configuration contains only the difference to it. A peer that
// has another configuration can't use the snapshot.
func TestSnapshotCarriesConfigurationDifference(t *testing.T) {
	configuration := func(version uint64, routes int) *Configuration {
		result := &Configuration{Version: version}
		for index := range routes {
			result.Routes = append(result.Routes, Route{Name: fmt.Sprintf("r-%d", index), Host: "a.example", PathPrefix: "/", Timeout: 1})
		}
		return result
	}
	s, peer := NewState(), NewState()
	s.Apply(Batch{Snapshot: true, To: 2, Changes: []Change{{Revision: 1, Configuration: configuration(1, 1600)}, {Revision: 2, Instance: instance("a")}}})
	peer.Apply(s.Since(peer.Position()))
	s.Apply(Batch{Snapshot: true, To: 8, Changes: []Change{{Revision: 1, Configuration: configuration(1, 1600)}, {Revision: 8, Instance: instance("b")}}})
	same := s.Since(peer.Position())
	must.True(t, same.Snapshot)
	must.Eq(t, []Change{{Revision: 8, Instance: instance("b")}}, same.Changes)
	s.Apply(Batch{Snapshot: true, To: 9, Changes: []Change{{Revision: 9, Configuration: configuration(2, 1601)}, {Revision: 8, Instance: instance("b")}}})
	changed := s.Since(peer.Position())
	must.True(t, changed.Snapshot)
	must.Len(t, 1, changed.Changes[1].Difference.Put)
	usable, _ := peer.Apply(changed)
	must.True(t, usable)
	must.Eq(t, s.Configuration(), peer.Configuration())
	must.Eq(t, s.Instances(), peer.Instances())

	other := NewState()
	other.Apply(Batch{Snapshot: true, To: 1, Changes: []Change{{Revision: 1, Configuration: configuration(7, 1)}}})
	usable, _ = other.Apply(changed)
	must.False(t, usable)
	must.Eq(t, 1, other.Revision())
}
