// Package source is a stand-in for the platform's configuration service. It
// can only be read; the lab changes it in process. It can fail in the ways in
// which such services fail.
package source

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
)

// Paths served.
const (
	PathConfiguration = "/v1/configuration"
	PathSecrets       = "/v1/secrets/"
)

// HeaderRequestNode is the request header in which a node may name itself.
const HeaderRequestNode = "Sliphead-Node"

// Served is the body of a configuration answer.
type Served struct {
	Revision uint64          `json:"revision"`
	Document json.RawMessage `json:"document"`
}

// Counts are what was asked of the source since the last ResetCounts.
type Counts struct {
	Requests int
	Readers  []string // distinct readers, by node name or else by IP address
}

// Service is the stand-in. Its zero value is not usable; call New.
type Service struct {
	mutex    sync.Mutex
	history  []Served // ascending revisions; the last is the newest
	pinned   *Served  // served instead of the newest, when the source is stale
	secrets  map[string]string
	mode     Mode
	changed  chan struct{} // closed and replaced on each change
	requests int
	readers  map[string]struct{}
}

// New returns a source that serves no configuration yet.
func New() *Service {
	return &Service{secrets: map[string]string{}, changed: make(chan struct{}), readers: map[string]struct{}{}}
}

// Publish serves a document under the next revision, which it returns.
func (s *Service) Publish(document *declaration.Document) (uint64, error) {
	encoded, err := json.Marshal(document)
	if err != nil {
		return 0, fault.Wrap(err, fault.Declaration, "give a document that encodes as JSON", "encode the document")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := s.newest().Revision + 1
	s.history = append(s.history, Served{Revision: revision, Document: encoded})
	s.announce()
	return revision, nil
}

// PublishRaw serves bytes that need not be a valid document under the next
// revision, which it returns.
func (s *Service) PublishRaw(document json.RawMessage) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := s.newest().Revision + 1
	s.history = append(s.history, Served{Revision: revision, Document: document})
	s.announce()
	return revision
}

// Equivocate serves another document under the newest revision.
func (s *Service) Equivocate(document *declaration.Document) error {
	encoded, err := json.Marshal(document)
	if err != nil {
		return fault.Wrap(err, fault.Declaration, "give a document that encodes as JSON", "encode the document")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.history) == 0 {
		return fault.New(fault.Source, "publish a document first", "nothing is published to equivocate about")
	}
	s.history[len(s.history)-1].Document = encoded
	s.announce()
	return nil
}

// Stale makes the source serve an old revision until Fresh is called.
func (s *Service) Stale(revision uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, served := range s.history {
		if served.Revision == revision {
			s.pinned = &served
			s.announce()
			return nil
		}
	}
	return fault.New(fault.Source, "name a revision that was published", "revision %d was never published", revision)
}

// Fresh ends Stale.
func (s *Service) Fresh() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pinned = nil
	s.announce()
}

// SetSecret serves a secret's value; an empty value removes the secret.
func (s *Service) SetSecret(name, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if value == "" {
		delete(s.secrets, name)
		return
	}
	s.secrets[name] = value
}

// Fail sets how the source fails from now on, also for waiting readers.
func (s *Service) Fail(mode Mode) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mode = mode
	s.announce()
}

// Revision returns the newest published revision, 0 for none.
func (s *Service) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.newest().Revision
}

// Counts returns what was asked so far.
func (s *Service) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := Counts{Requests: s.requests}
	for reader := range s.readers {
		counts.Readers = append(counts.Readers, reader)
	}
	return counts
}

// ResetCounts starts counting anew.
func (s *Service) ResetCounts() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests = 0
	s.readers = map[string]struct{}{}
}

// newest returns the newest published configuration. Callers hold the mutex.
func (s *Service) newest() Served {
	if len(s.history) == 0 {
		return Served{}
	}
	return s.history[len(s.history)-1]
}

// announce wakes waiting readers. Callers hold the mutex.
func (s *Service) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.count(request)
	if request.Method != http.MethodGet {
		http.Error(writer, "this service can only be read", http.StatusMethodNotAllowed)
		return
	}
	if s.misbehave(writer, request) {
		return
	}
	if request.URL.Path == PathConfiguration {
		s.serveConfiguration(writer, request)
		return
	}
	s.serveSecret(writer, request)
}

func (s *Service) count(request *http.Request) {
	reader := request.Header.Get(HeaderRequestNode)
	if reader == "" {
		reader, _, _ = net.SplitHostPort(request.RemoteAddr)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests++
	s.readers[reader] = struct{}{}
}

// maxWait bounds a long poll.
const maxWait = time.Minute

func (s *Service) serveConfiguration(writer http.ResponseWriter, request *http.Request) {
	seconds, _ := strconv.ParseFloat(request.URL.Query().Get("wait"), 64)
	wait := min(time.Duration(seconds*float64(time.Second)), maxWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		served, changed := s.current()
		tag := entityTag(served)
		if served.Revision > 0 && request.Header.Get("If-None-Match") != tag {
			s.writeConfiguration(writer, request, served, tag)
			return
		}
		select {
		case <-changed:
			if s.misbehave(writer, request) {
				return
			}
		case <-request.Context().Done():
			return
		case <-deadline.C:
			writeUnchanged(writer, served, tag)
			return
		}
	}
}

func writeUnchanged(writer http.ResponseWriter, served Served, tag string) {
	if served.Revision == 0 {
		http.Error(writer, "no configuration is published yet", http.StatusNotFound)
		return
	}
	writer.Header().Set("ETag", tag)
	writer.WriteHeader(http.StatusNotModified)
}

func (s *Service) current() (Served, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.pinned != nil {
		return *s.pinned, s.changed
	}
	return s.newest(), s.changed
}

func entityTag(served Served) string {
	return fmt.Sprintf(`"%d-%x"`, served.Revision, xxhash.Sum64(served.Document))
}

func (s *Service) writeConfiguration(writer http.ResponseWriter, request *http.Request, served Served, tag string) {
	body, err := json.Marshal(served)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("ETag", tag)
	s.writeJSON(writer, body)
}

func (s *Service) serveSecret(writer http.ResponseWriter, request *http.Request) {
	name := request.URL.Path[min(len(PathSecrets), len(request.URL.Path)):]
	s.mutex.Lock()
	value, found := s.secrets[name]
	s.mutex.Unlock()
	if !found {
		http.NotFound(writer, request)
		return
	}
	body, _ := json.Marshal(struct {
		Value string `json:"value"`
	}{value})
	s.writeJSON(writer, body)
}
