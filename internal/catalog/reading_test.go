package catalog

import (
	"errors"
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

// The newest sound configuration counts, whatever stands behind it; no bad item
// spoils another, and each is told once.
func TestAnswerBringsWhatIsSound(t *testing.T) {
	bad := soundConfiguration(4)
	bad.Routes[0].Targets[0].Service = "unknown"
	answer := Answer{From: 1, To: 9, Items: []Item{
		{Revision: 2, Configuration: func() (*Configuration, error) { t.Error("decoded in vain"); return nil, nil }},
		{Revision: 3, Configuration: decodesTo(soundConfiguration(3), nil)},
		{Revision: 4, Instance: &Instance{ID: "i-1"}},
		{Revision: 5, Err: errUnreadable},
		{Revision: 6, Configuration: decodesTo(bad, nil)},
		{Revision: 7, Configuration: decodesTo(nil, errUnreadable)},
		{Revision: 8, Removed: "i-2"},
	}}
	told := 0
	batch := answer.Batch(func(error) { told++ })
	must.Eq(t, 3, told)
	must.Eq(t, Batch{From: 1, To: 9, Changes: []Change{
		{Revision: 3, Configuration: soundConfiguration(3)},
		{Revision: 4, Instance: &Instance{ID: "i-1"}},
		{Revision: 8, Removed: "i-2"},
	}}, batch)
}
