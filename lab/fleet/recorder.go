package fleet

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// recorder notes when each node put each revision in force, from the events
// that nodes log.
type recorder struct {
	mutex     sync.Mutex
	activated map[uint64]map[string]time.Time // by revision and node
	newest    map[string]uint64               // by node
	backwards int                             // activations of an older revision within one process
	problems  map[string]int                  // warnings by event name
}

func newRecorder() *recorder {
	return &recorder{
		activated: make(map[uint64]map[string]time.Time),
		newest:    make(map[string]uint64),
		problems:  make(map[string]int),
	}
}

// logger returns the logger of one process of a node.
func (r *recorder) logger(node string) log.Interface {
	r.mutex.Lock()
	delete(r.newest, node)
	r.mutex.Unlock()
	handler := log.HandlerFunc(func(entry *log.Entry) error {
		r.take(node, entry)
		return nil
	})
	return &log.Logger{Handler: handler, Level: log.InfoLevel}
}

func (r *recorder) take(node string, entry *log.Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if entry.Level >= log.WarnLevel {
		r.problems[entry.Message]++
	}
	if entry.Message != "version.activated" {
		return
	}
	revision, _ := entry.Fields["revision"].(uint64)
	r.note(node, revision, time.Now())
}

// note is called with the mutex held.
func (r *recorder) note(node string, revision uint64, at time.Time) {
	if revision < r.newest[node] {
		r.backwards++
	}
	r.newest[node] = revision
	if r.activated[revision] == nil {
		r.activated[revision] = make(map[string]time.Time)
	}
	if _, known := r.activated[revision][node]; !known {
		r.activated[revision][node] = at
	}
}

// at returns how many nodes have put a revision, or a newer one, in force last.
func (r *recorder) at(revision uint64, nodes []string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, node := range nodes {
		if r.newest[node] >= revision {
			count++
		}
	}
	return count
}

// delays returns how long after a moment each node put a revision in force.
func (r *recorder) delays(revision uint64, since time.Time) []time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var delays []time.Duration
	for _, at := range r.activated[revision] {
		delays = append(delays, at.Sub(since))
	}
	return delays
}
