package catalog

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var errUnreadable = errors.New("unreadable")

func decoder(configuration *Configuration, err error) func() (*Configuration, error) {
	return func() (*Configuration, error) { return configuration, err }
}

func validConfiguration(version uint64) *Configuration {
	return &Configuration{
		Version: version, Services: map[string]Service{"s1": {}},
		Routes: []Route{{Name: "r", Host: "h", PathPrefix: "/", Targets: []WeightedTarget{{Service: "s1", Weight: 1}}, Timeout: time.Second}},
	}
}

func validInstance(id string) *Instance {
	return &Instance{ID: id, Service: "s1", Zone: "z", Address: "10.0.0.1:80", Capacity: 6}
}

// The newest valid configuration is taken, whatever follows it. An invalid item affects no other
// and is reported once. An invalid record counts as removed.
func TestBatchLeavesOutInvalidItems(t *testing.T) {
	bad := validConfiguration(4)
	bad.Routes[0].Targets[0].Service = "unknown"
	response := StoreResponse{From: 1, To: 9, Items: []Item{
		{Revision: 2, Configuration: func() (*Configuration, error) { t.Error("an earlier configuration was decoded"); return nil, nil }},
		{Revision: 3, Configuration: decoder(validConfiguration(3), nil)},
		{Revision: 4, Instance: validInstance("i-1")},
		{Revision: 4, Instance: &Instance{ID: "i-3"}},
		{Revision: 4, Removed: "i-4", Err: errUnreadable},
		{Revision: 5, Err: errUnreadable},
		{Revision: 6, Configuration: decoder(bad, nil)},
		{Revision: 7, Configuration: decoder(nil, errUnreadable)},
		{Revision: 8, Removed: "i-2"},
	}}
	problems := 0
	batch := response.Batch(func(error) { problems++ })
	must.Eq(t, 5, problems)
	must.Eq(t, Batch{From: 1, To: 9, Changes: []Change{
		{Revision: 3, Configuration: validConfiguration(3)},
		{Revision: 4, Instance: validInstance("i-1")},
		{Revision: 4, Removed: "i-3"},
		{Revision: 4, Removed: "i-4"},
		{Revision: 8, Removed: "i-2"},
	}}, batch)
}

func TestInvalidInstanceRecordsAreRejected(t *testing.T) {
	must.NoError(t, validInstance("i-1").Validate())
	for name, corrupt := range map[string]func(*Instance){
		"has the id":        func(i *Instance) { i.ID = "" },
		"has the id \"a\\n": func(i *Instance) { i.ID = "a\n" },
		"has the id \"xx":   func(i *Instance) { i.ID = strings.Repeat("x", maxIDLength+1) },
		"has address":       func(i *Instance) { i.Address = "worker:80" },
		":0\"":              func(i *Instance) { i.Address = "10.0.0.1:0" },
		"0.0.0.0":           func(i *Instance) { i.Address = "0.0.0.0:80" },
		"has service":       func(i *Instance) { i.Service = "" },
		"and zone":          func(i *Instance) { i.Zone = "" },
		"has capacity 0":    func(i *Instance) { i.Capacity = 0 },
		"has capacity 9":    func(i *Instance) { i.Capacity = 999_999_999 },
		"is cold for -":     func(i *Instance) { i.ColdRemaining = -time.Second },
		"is cold for 1000h": func(i *Instance) { i.ColdRemaining = 1000 * time.Hour },
		"has start time":    func(i *Instance) { i.StartedMs = -1 },
	} {
		bad := validInstance("i-1")
		corrupt(bad)
		must.ErrorContains(t, bad.Validate(), name)
	}
}

// A record whose service is not in the configuration must not hide a worker at its address.
func TestRecordOfUnknownServiceHidesNoWorker(t *testing.T) {
	other := validInstance("i-2")
	other.Service = "s9"
	state := NewState()
	state.Apply(Batch{To: 3, Snapshot: true, Changes: []Change{
		{Revision: 1, Configuration: validConfiguration(1)}, {Revision: 2, Instance: validInstance("i-1")}, {Revision: 3, Instance: other},
	}})
	must.Eq(t, []Instance{*validInstance("i-1")}, state.Instances())
}
