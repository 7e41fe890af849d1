package catalog

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func instance(id string) *Instance { return &Instance{ID: id, Service: "shop"} }

func TestWholeReplacesAndBatchesExtend(t *testing.T) {
	s := NewState()
	usable, _ := s.Join(Batch{From: 3, To: 4})
	must.False(t, usable) // nothing is known yet
	_, changed := s.Join(Batch{Whole: true, To: 5, Changes: []Change{
		{Revision: 2, Configuration: &Configuration{Version: 7}}, {Revision: 5, Instance: instance("a")},
	}})
	must.True(t, changed)
	usable, _ = s.Join(Batch{From: 6, To: 7, Changes: []Change{{Revision: 7, Removed: "a"}}})
	must.False(t, usable) // revision 6 would be missing
	_, changed = s.Join(Batch{From: 5, To: 7, Changes: []Change{{Revision: 7, Removed: "a"}}})
	must.True(t, changed)
	must.SliceEmpty(t, s.Instances())
	must.Eq(t, 7, s.Configuration().Version)
	_, changed = s.Join(Batch{Whole: true, To: 6, Changes: []Change{{Revision: 5, Instance: instance("a")}}})
	must.False(t, changed) // older than what is known
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	s := NewState()
	s.Join(Batch{Whole: true, To: 5, Changes: []Change{{Revision: 5, Configuration: &Configuration{Version: 9}}}})
	s.Join(Batch{From: 5, To: 6, Changes: []Change{{Revision: 6, Configuration: &Configuration{Version: 8}}}})
	must.Eq(t, 9, s.Configuration().Version)
	s.Join(Batch{Whole: true, To: 7})
	must.Eq(t, 9, s.Configuration().Version) // a whole without one takes none away
}

// Crossed, repeated and lost batches lead to the same state as the store's.
func TestJoinsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := NewState()
		truth.Join(Batch{Whole: true, To: 1})
		behind := NewState()
		behind.Join(truth.Since(0))
		var sent []Batch
		for revision := uint64(2); revision < 30; revision++ {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			change := Change{Revision: revision, Instance: instance(id)}
			if rapid.Bool().Draw(t, "gone") {
				change = Change{Revision: revision, Removed: id}
			}
			truth.Join(Batch{From: revision - 1, To: revision, Changes: []Change{change}})
			sent = append(sent, truth.Since(behind.Revision()))
			if rapid.Bool().Draw(t, "deliver") {
				behind.Join(rapid.SampledFrom(sent).Draw(t, "batch"))
			}
		}
		if behind.Revision() > truth.Revision() {
			t.Fatalf("the follower is ahead")
		}
		behind.Join(truth.Since(behind.Revision()))
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
	for name, spoil := range map[string]func(*Configuration){
		"two routes are named":  func(c *Configuration) { c.Routes = append(c.Routes, c.Routes[0]) },
		"has host":              func(c *Configuration) { c.Routes[0].Host = "" },
		"has prefix":            func(c *Configuration) { c.Routes[0].PathPrefix = "/p" },
		"has time-out":          func(c *Configuration) { c.Routes[0].Timeout = 0 },
		"goes nowhere":          func(c *Configuration) { c.Routes[0].Targets = nil },
		"which is not declared": func(c *Configuration) { c.Routes[0].Targets[0].Service = "other" },
		"has weight -1":         func(c *Configuration) { c.Routes[0].Targets[0].Weight = -1 },
		"has no weight":         func(c *Configuration) { c.Routes[0].Targets[0].Weight = 0 },
	} {
		bad := good()
		spoil(bad)
		must.ErrorContains(t, bad.Validate(), name)
	}
}
