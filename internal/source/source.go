// Package source holds the read-only clients of the platform: the
// configuration service with its secrets, and the list of machines. Whatever
// they answer is bounded and checked; a wrong answer is an error of kind
// fault.Source and changes nothing.
package source

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"sliphead/internal/fault"
)

const (
	maxBodyBytes   = 8 << 20  // of one answer
	maxSecretBytes = 64 << 10 // of one secret's answer
	defaultTimeout = 5 * time.Second
	nodeHeader     = "Sliphead-Node"
)

// Configuration is a client of the configuration service.
type Configuration struct {
	Base    string        // such as http://10.0.0.9:9000
	Node    string        // name of this node, told to the service
	Timeout time.Duration // for one answer, beyond the long poll's wait
	Client  *http.Client  // default: a client with few connections
}

// Document is one answer of the configuration service.
type Document struct {
	Revision uint64
	Raw      json.RawMessage
	ETag     string
}

// configurationBody is the body of an answer.
type configurationBody struct {
	Revision *uint64         `json:"revision"`
	Document json.RawMessage `json:"document"`
}

// Fetch asks for the document. With an ETag held it waits up to wait for
// another one, and returns nil when there is none.
func (c *Configuration) Fetch(ctx context.Context, held string, wait time.Duration) (*Document, error) {
	query := url.Values{}
	if held != "" && wait > 0 {
		query.Set("wait", strconv.Itoa(int((wait+time.Second-1)/time.Second)))
	}
	answer, err := get(ctx, c.request("/v1/configuration", query, held, wait, maxBodyBytes))
	if err != nil || answer.notModified {
		return nil, err
	}
	document, err := decodeConfiguration(answer.body)
	if err != nil {
		return nil, err
	}
	document.ETag = answer.etag
	return document, nil
}

// decodeConfiguration reads the body of an answer.
func decodeConfiguration(text []byte) (*Document, error) {
	var body configurationBody
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, fault.Wrap(err, fault.Source, answerRemedy, "the configuration service answered half a document or no JSON")
	}
	if body.Revision == nil || len(body.Document) == 0 || body.Document[0] != '{' {
		return nil, fault.New(fault.Source, answerRemedy, "the configuration service answered without revision or document")
	}
	return &Document{Revision: *body.Revision, Raw: body.Document}, nil
}

// Secret asks for the value of one secret.
func (c *Configuration) Secret(ctx context.Context, name string) (string, error) {
	answer, err := get(ctx, c.request("/v1/secrets/"+url.PathEscape(name), nil, "", 0, maxSecretBytes))
	if err != nil {
		return "", err
	}
	value, held := decodeSecret(answer.body)
	if !held {
		return "", fault.New(fault.Source, answerRemedy, "the configuration service answered no value for secret %q", name)
	}
	return value, nil
}

// decodeSecret reads the body of an answer. What is wrong with it is not told,
// as it may hold the secret.
func decodeSecret(text []byte) (value string, held bool) {
	var body struct {
		Value *string `json:"value"`
	}
	if err := json.Unmarshal(text, &body); err != nil || body.Value == nil {
		return "", false
	}
	return *body.Value, true
}

// request describes one question to the configuration service.
func (c *Configuration) request(path string, query url.Values, held string, wait time.Duration, most int64) question {
	return question{
		client: c.Client, base: c.Base, path: path, query: query, node: c.Node,
		etag: held, timeout: cmp.Or(c.Timeout, defaultTimeout) + wait, most: most,
	}
}

// MachineState is what the platform says of a machine.
type MachineState string

// The states of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the machine list, which lags.
type Machine struct {
	Name    string       `json:"name"`
	Zone    string       `json:"zone"`
	Region  string       `json:"region"`
	Service string       `json:"service"`
	Peer    string       `json:"peer"` // host:port
	State   MachineState `json:"state"`
}

// Machines is a client of the machine list.
type Machines struct {
	Base    string
	Node    string
	Timeout time.Duration
	Client  *http.Client
}

// Fetch asks for the list. Entries without name, with a peer address that is no
// IP and port, or in an unknown state are left out.
func (m *Machines) Fetch(ctx context.Context) ([]Machine, error) {
	answer, err := get(ctx, question{
		client: m.Client, base: m.Base, path: "/v1/machines", node: m.Node, timeout: cmp.Or(m.Timeout, defaultTimeout), most: maxBodyBytes,
	})
	if err != nil {
		return nil, err
	}
	return decodeMachines(answer.body)
}

// decodeMachines reads the body of an answer.
func decodeMachines(text []byte) ([]Machine, error) {
	var body struct {
		Machines *[]Machine `json:"machines"`
	}
	if err := json.Unmarshal(text, &body); err != nil || body.Machines == nil {
		return nil, fault.New(fault.Source, answerRemedy, "the machine list answered half a list or no JSON")
	}
	return slices.DeleteFunc(*body.Machines, func(machine Machine) bool { return !machine.sound() }), nil
}

// sound reports whether the entry can be used.
func (m Machine) sound() bool {
	_, err := netip.ParseAddrPort(m.Peer)
	return err == nil && m.Name != "" && (m.State == MachineLive || m.State == MachineLeaving)
}

const (
	answerRemedy = "check the platform's service; the last good version serves on"
	reachRemedy  = "check that the platform's service runs and is reachable; the last good version serves on"
)

// defaultClient has few connections and follows no redirects.
var defaultClient = &http.Client{
	Transport: &http.Transport{
		Proxy:               nil,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
		ReadBufferSize:      readBufferBytes,
		WriteBufferSize:     readBufferBytes,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// readBufferBytes is the size of a connection's buffers.
const readBufferBytes = 4 << 10

// question is one GET.
type question struct {
	client  *http.Client
	base    string
	path    string
	query   url.Values
	node    string
	etag    string
	timeout time.Duration
	most    int64 // bytes of body
}

// answer is what came back with status 200 or 304.
type answer struct {
	body        []byte
	etag        string
	notModified bool
}

// busyError is an answer that says when to come back.
type busyError struct {
	wait time.Duration
}

// Error implements the error interface.
func (b *busyError) Error() string { return fmt.Sprintf("asked to come back after %v", b.wait) }

// RetryAfter returns the wait that the service asked for, 0 when it did not.
func RetryAfter(err error) time.Duration {
	var busy *busyError
	if errors.As(err, &busy) {
		return busy.wait
	}
	return 0
}

// get asks and checks status, content type and size.
func get(ctx context.Context, q question) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	request, err := q.build(ctx)
	if err != nil {
		return answer{}, err
	}
	client := q.client
	if client == nil {
		client = defaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{}, fault.Wrap(withoutURL(err), fault.Source, reachRemedy, "%s did not answer", q.path)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && q.etag != "" {
		return answer{notModified: true}, nil
	}
	if response.StatusCode != http.StatusOK {
		return answer{}, statusError(q.path, response)
	}
	return q.read(response)
}

// withoutURL drops the URL from an error of the client: it holds the jittered
// wait, and one lasting failure would read like many.
func withoutURL(err error) error {
	var told *url.Error
	if errors.As(err, &told) {
		return told.Err
	}
	return err
}

// build returns the request.
func (q question) build(ctx context.Context) (*http.Request, error) {
	target := q.base + q.path
	if len(q.query) > 0 {
		target += "?" + q.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, "correct the source's URL in the settings", "the source's URL %q is wrong", q.base)
	}
	request.Header.Set(nodeHeader, q.node)
	request.Header.Set("Accept", "application/json")
	if q.etag != "" {
		request.Header.Set("If-None-Match", q.etag)
	}
	return request, nil
}

// read checks the content type and reads the bounded body.
func (q question) read(response *http.Response) (answer, error) {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || kind != "application/json" {
		return answer{}, fault.New(fault.Source, answerRemedy, "%s answered with content type %q, not application/json",
			q.path, response.Header.Get("Content-Type"))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, q.most+1))
	if err != nil {
		return answer{}, fault.Wrap(err, fault.Source, answerRemedy, "%s broke off its answer", q.path)
	}
	if int64(len(body)) > q.most {
		return answer{}, fault.New(fault.Source, answerRemedy, "%s answered more than %d bytes", q.path, q.most)
	}
	return answer{body: body, etag: response.Header.Get("ETag")}, nil
}

// maxRetryAfter bounds the wait that a service can ask for.
const maxRetryAfter = 5 * time.Minute

// statusError types an answer that is neither 200 nor 304.
func statusError(path string, response *http.Response) error {
	wait := min(retryAfter(response.Header.Get("Retry-After")), maxRetryAfter)
	if wait <= 0 {
		return fault.New(fault.Source, reachRemedy, "%s answered status %d", path, response.StatusCode)
	}
	return fault.Wrap(&busyError{wait: wait}, fault.Source, reachRemedy, "%s answered status %d", path, response.StatusCode)
}

// retryAfter reads the header of that name, in seconds or as a date (RFC 9110
// section 10.2.3).
func retryAfter(value string) time.Duration {
	if seconds, err := strconv.Atoi(value); err == nil {
		return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
	}
	if date, err := http.ParseTime(value); err == nil {
		return time.Until(date)
	}
	return 0
}
