package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one key of the store as its HTTP interface shows it.
type storeItem struct {
	Key      string `json:"privateKey"`
	Value    []byte `json:"value,omitempty"` // base64 in JSON
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// store is a stand-in for the platform's metadata store: linearizable, with one revision counter
// and its whole history. The system only reads it.
type store struct {
	listener net.Listener

	mutex    sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{} // closed and replaced with each change
}

// newStore starts a store on a free port of an address.
func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, items: map[string]storeItem{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a JSON document. The change is acknowledged when put returns.
func (s *store) put(key string, document any) {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err) // the documents of the cases always marshal
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	made := s.revision
	if before, exists := s.items[key]; exists {
		made = before.Made
	}
	s.items[key] = storeItem{Key: key, Value: value, Revision: s.revision, Made: made}
	s.append(s.items[key])
}

// append adds a change to the history and wakes waiting watches. The mutex must be held.
func (s *store) append(change storeItem) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(4 * time.Millisecond) // the time of an answer on the users' sheet
	query := request.URL.Query()
	switch request.URL.Path {
	case "/api/kv-key":
		s.serveKey(writer, query.Get("privateKey"))
	case "/api/kv-range":
		s.serveRange(writer, query.Get("pathPrefix"), query.Get("after"))
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.serveWatch(writer, request, query.Get("pathPrefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(writer http.ResponseWriter, key string) {
	s.mutex.Lock()
	item, found := s.items[key]
	at := s.revision
	s.mutex.Unlock()
	if !found {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	respondJSON(writer, struct {
		storeItem
		At uint64 `json:"at"`
	}{item, at})
}

func (s *store) serveRange(writer http.ResponseWriter, prefix, after string) {
	s.mutex.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	at := s.revision
	s.mutex.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	respondJSON(writer, map[string]any{"items": items, "more": false, "at": at})
}

func (s *store) serveWatch(writer http.ResponseWriter, request *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, at, changed := s.since(prefix, after)
		if len(events) > 0 {
			respondJSON(writer, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			respondJSON(writer, map[string]any{"events": events, "at": at})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after uint64) (events []storeItem, at uint64, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	events = []storeItem{}
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, s.revision, s.changed
}

func respondJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body) // an error means that the node has disconnected
}
