package catalog

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var errUnreadable = errors.New("unreadable")

func decodesTo(configuration *Configuration, err error) func() (*Configuration, error) {
	return func() (*Configuration, error) { return configuration, err }
}

func soundConfiguration(version uint64) *Configuration {
	return &Configuration{
		Version: version, Services: map[string]Service{"s1": {}},
		Routes: []Route{{Name: "r", Host: "h", PathPrefix: "/", Targets: []WeightedTarget{{Service: "s1", Weight: 1}}, Timeout: time.Second}},
	}
}

func soundInstance(id string) *Instance {
	return &Instance{ID: id, Service: "s1", Zone: "z", Address: "10.0.0.1:80", Capacity: 6}
}

// The newest sound configuration counts, whatever stands behind it; no bad item
// spoils another, and each is told once. A record that is no worker's counts as gone.
func TestAnswerBringsWhatIsSound(t *testing.T) {
	bad := soundConfiguration(4)
	bad.Routes[0].Targets[0].Service = "unknown"
	answer := Answer{From: 1, To: 9, Items: []Item{
		{Revision: 2, Configuration: func() (*Configuration, error) { t.Error("decoded in vain"); return nil, nil }},
		{Revision: 3, Configuration: decodesTo(soundConfiguration(3), nil)},
		{Revision: 4, Instance: soundInstance("i-1")},
		{Revision: 4, Instance: &Instance{ID: "i-3"}},
		{Revision: 4, Removed: "i-4", Err: errUnreadable},
		{Revision: 5, Err: errUnreadable},
		{Revision: 6, Configuration: decodesTo(bad, nil)},
		{Revision: 7, Configuration: decodesTo(nil, errUnreadable)},
		{Revision: 8, Removed: "i-2"},
	}}
	told := 0
	batch := answer.Batch(func(error) { told++ })
	must.Eq(t, 5, told)
	must.Eq(t, Batch{From: 1, To: 9, Changes: []Change{
		{Revision: 3, Configuration: soundConfiguration(3)},
		{Revision: 4, Instance: soundInstance("i-1")},
		{Revision: 4, Removed: "i-3"},
		{Revision: 4, Removed: "i-4"},
		{Revision: 8, Removed: "i-2"},
	}}, batch)
}

func TestInstanceValidation(t *testing.T) {
	must.NoError(t, soundInstance("i-1").Validate())
	for name, spoil := range map[string]func(*Instance){
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
		"tells a start":     func(i *Instance) { i.Born = -1 },
	} {
		bad := soundInstance("i-1")
		spoil(bad)
		must.ErrorContains(t, bad.Validate(), name)
	}
}

// A record of a service that the configuration doesn't know hides no worker at its address.
func TestRecordOfAnUnknownServiceHidesNoWorker(t *testing.T) {
	other := soundInstance("i-2")
	other.Service = "s9"
	state := NewState()
	state.Join(Batch{To: 3, Whole: true, Changes: []Change{
		{Revision: 1, Configuration: soundConfiguration(1)}, {Revision: 2, Instance: soundInstance("i-1")}, {Revision: 3, Instance: other},
	}})
	must.Eq(t, []Instance{*soundInstance("i-1")}, state.Instances())
}
