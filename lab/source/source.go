// Package source implements a stand-in for the platform's configuration service.
// Over HTTP it is read-only; the lab publishes from within the process. It can
// simulate the typical failures of such services.
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

// The paths of the configuration and, as a prefix, of secrets.
const (
	PathConfiguration = "/v1/configuration"
	PathSecrets       = "/v1/secrets/"
)

// HeaderRequestNode is the request header in which a node may send its name.
const HeaderRequestNode = "Sliphead-Node"

// Configuration is a published revision. It is the body of a configuration response.
type Configuration struct {
	Revision uint64          `json:"revision"`
	Document json.RawMessage `json:"document"`
}

// Counts holds the number of requests and their readers since the last ResetCounts.
type Counts struct {
	Requests int
	Readers  []string // distinct readers: node names, or IP addresses of readers that send none
}

// Service is the stand-in. Its zero value is not usable; call New. It is safe for
// concurrent use.
type Service struct {
	mutex    sync.Mutex
	history  []Configuration // ascending revisions; the last is the newest
	pinned   *Configuration  // served instead of the newest; nil for none
	secrets  map[string]string
	mode     Mode
	changed  chan struct{} // closed and replaced on each change
	requests int
	readers  map[string]struct{}
}

// New returns a source without any published configuration.
func New() *Service {
	return &Service{secrets: map[string]string{}, changed: make(chan struct{}), readers: map[string]struct{}{}}
}

// Publish publishes a document and returns its revision.
func (s *Service) Publish(document *declaration.Document) (uint64, error) {
	encoded, err := json.Marshal(document)
	if err != nil {
		return 0, fault.Wrap(err, fault.Declaration, "give a document that encodes as JSON", "encode the document")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := s.newest().Revision + 1
	s.history = append(s.history, Configuration{Revision: revision, Document: encoded})
	s.notifyChanged()
	return revision, nil
}

// PublishRaw publishes JSON that need not be a valid document and returns its
// revision.
func (s *Service) PublishRaw(document json.RawMessage) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := s.newest().Revision + 1
	s.history = append(s.history, Configuration{Revision: revision, Document: document})
	s.notifyChanged()
	return revision
}

// Equivocate replaces the document of the newest revision. It returns an error if
// nothing is published.
func (s *Service) Equivocate(document *declaration.Document) error {
	encoded, err := json.Marshal(document)
	if err != nil {
		return fault.Wrap(err, fault.Declaration, "give a document that encodes as JSON", "encode the document")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.history) == 0 {
		return fault.New(fault.Source, "publish a document first", "no revision is published whose document could be replaced")
	}
	s.history[len(s.history)-1].Document = encoded
	s.notifyChanged()
	return nil
}

// PinRevision makes the source serve an old revision until UnpinRevision is called.
func (s *Service) PinRevision(revision uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, served := range s.history {
		if served.Revision == revision {
			s.pinned = &served
			s.notifyChanged()
			return nil
		}
	}
	return fault.New(fault.Source, "name a revision that was published", "revision %d was never published", revision)
}

// UnpinRevision makes the source serve the newest revision again.
func (s *Service) UnpinRevision() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pinned = nil
	s.notifyChanged()
}

// SetSecret sets the value of a secret; an empty value removes the secret.
func (s *Service) SetSecret(name, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if value == "" {
		delete(s.secrets, name)
		return
	}
	s.secrets[name] = value
}

// SetMode sets the mode. It also applies to waiting long polls.
func (s *Service) SetMode(mode Mode) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mode = mode
	s.notifyChanged()
}

// Revision returns the newest published revision, 0 for none.
func (s *Service) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.newest().Revision
}

// Counts returns the counts since the last ResetCounts. The readers are in no order.
func (s *Service) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := Counts{Requests: s.requests}
	for reader := range s.readers {
		counts.Readers = append(counts.Readers, reader)
	}
	return counts
}

// ResetCounts sets the counts to zero.
func (s *Service) ResetCounts() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests = 0
	s.readers = map[string]struct{}{}
}

// newest returns the newest published configuration. Callers hold the mutex.
func (s *Service) newest() Configuration {
	if len(s.history) == 0 {
		return Configuration{}
	}
	return s.history[len(s.history)-1]
}

// notifyChanged wakes waiting long polls. Callers hold the mutex.
func (s *Service) notifyChanged() {
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
	if s.simulateFailure(writer, request) {
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

// maxWait limits the duration of a long poll.
const maxWait = time.Minute

func (s *Service) serveConfiguration(writer http.ResponseWriter, request *http.Request) {
	seconds, _ := strconv.ParseFloat(request.URL.Query().Get("wait"), 64)
	wait := min(time.Duration(seconds*float64(time.Second)), maxWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		served, changed := s.currentConfiguration()
		tag := entityTag(served)
		if served.Revision > 0 && request.Header.Get("If-None-Match") != tag {
			s.writeConfiguration(writer, request, served, tag)
			return
		}
		select {
		case <-changed:
			if s.simulateFailure(writer, request) {
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

func writeUnchanged(writer http.ResponseWriter, served Configuration, tag string) {
	if served.Revision == 0 {
		http.Error(writer, "no configuration is published yet", http.StatusNotFound)
		return
	}
	writer.Header().Set("ETag", tag)
	writer.WriteHeader(http.StatusNotModified)
}

func (s *Service) currentConfiguration() (Configuration, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.pinned != nil {
		return *s.pinned, s.changed
	}
	return s.newest(), s.changed
}

func entityTag(served Configuration) string {
	return fmt.Sprintf(`"%d-%x"`, served.Revision, xxhash.Sum64(served.Document))
}

func (s *Service) writeConfiguration(writer http.ResponseWriter, request *http.Request, served Configuration, tag string) {
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
