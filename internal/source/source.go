// Package source contains read-only clients of the platform's services: the
// configuration service with its secrets, and the machine list. Responses are
// limited in size and checked. An invalid response is an error of kind
// fault.Source and leaves the state unchanged.
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
	maxBodyBytes   = 8 << 20  // maximum size of a response body
	maxSecretBytes = 64 << 10 // maximum size of a response body with a secret
	defaultTimeout = 5 * time.Second
	nodeHeader     = "Sliphead-Node"
)

// Configuration is a client of the configuration service. It is safe for concurrent
// use.
type Configuration struct {
	Base    string        // base URL, such as http://10.0.0.9:9000
	Node    string        // name of this node, sent in the header Sliphead-Node
	Timeout time.Duration // of a request, in addition to the wait of a long poll; default: 5 s
	Client  *http.Client  // default: a client with few idle connections that follows no redirects
}

// Document is one response of the configuration service.
type Document struct {
	Revision uint64
	Raw      json.RawMessage
	ETag     string
}

// configurationBody is the body of a response of the configuration service.
type configurationBody struct {
	Revision *uint64         `json:"revision"`
	Document json.RawMessage `json:"document"`
}

// Fetch requests the document. If etag is not empty, the service waits up to wait
// for a document with another ETag, and Fetch returns nil when there is none. Errors
// are of kind fault.Source, or fault.Settings for an invalid Base.
func (c *Configuration) Fetch(ctx context.Context, etag string, wait time.Duration) (*Document, error) {
	query := url.Values{}
	if etag != "" && wait > 0 {
		query.Set("wait", strconv.Itoa(int((wait+time.Second-1)/time.Second)))
	}
	response, err := get(ctx, c.newRequest("/v1/configuration", query, etag, wait, maxBodyBytes))
	if err != nil || response.notModified {
		return nil, err
	}
	document, err := decodeConfiguration(response.body)
	if err != nil {
		return nil, err
	}
	document.ETag = response.etag
	return document, nil
}

// decodeConfiguration decodes the body of a response with the document.
func decodeConfiguration(text []byte) (*Document, error) {
	var body configurationBody
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, fault.Wrap(err, fault.Source, invalidResponseRemedy, "the response of the configuration service is truncated or not JSON")
	}
	if body.Revision == nil || len(body.Document) == 0 || body.Document[0] != '{' {
		return nil, fault.New(fault.Source, invalidResponseRemedy, "the response of the configuration service lacks a revision or document")
	}
	return &Document{Revision: *body.Revision, Raw: body.Document}, nil
}

// Secret requests the value of one secret. Its errors never contain the value.
func (c *Configuration) Secret(ctx context.Context, name string) (string, error) {
	response, err := get(ctx, c.newRequest("/v1/secrets/"+url.PathEscape(name), nil, "", 0, maxSecretBytes))
	if err != nil {
		return "", err
	}
	value, found := decodeSecret(response.body)
	if !found {
		return "", fault.New(fault.Source, invalidResponseRemedy, "the response of the configuration service contains no value for secret %q", name)
	}
	return value, nil
}

// decodeSecret decodes the body of a response with a secret. It returns no decoding
// error, because its text could contain the secret.
func decodeSecret(text []byte) (value string, found bool) {
	var body struct {
		Value *string `json:"value"`
	}
	if err := json.Unmarshal(text, &body); err != nil || body.Value == nil {
		return "", false
	}
	return *body.Value, true
}

// newRequest returns a request to the configuration service.
func (c *Configuration) newRequest(path string, query url.Values, etag string, wait time.Duration, maxBytes int64) getRequest {
	return getRequest{
		client: c.Client, base: c.Base, path: path, query: query, node: c.Node,
		etag: etag, timeout: cmp.Or(c.Timeout, defaultTimeout) + wait, maxBytes: maxBytes,
	}
}

// MachineState is the state of a machine as reported by the platform.
type MachineState string

// The states of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the machine list, which lags behind the actual state.
type Machine struct {
	Name    string       `json:"name"`
	Zone    string       `json:"zone"`
	Region  string       `json:"region"`
	Service string       `json:"service"`
	Peer    string       `json:"peer"` // host:port
	State   MachineState `json:"state"`
}

// Machines is a client of the machine list. Its fields are those of Configuration.
// It is safe for concurrent use.
type Machines struct {
	Base    string
	Node    string
	Timeout time.Duration
	Client  *http.Client
}

// Fetch requests the list. Entries without a name, with a peer address that is not
// an IP and port, or with an unknown state are left out. Errors are of kind
// fault.Source, or fault.Settings for an invalid Base.
func (m *Machines) Fetch(ctx context.Context) ([]Machine, error) {
	response, err := get(ctx, getRequest{
		client: m.Client, base: m.Base, path: "/v1/machines", node: m.Node, timeout: cmp.Or(m.Timeout, defaultTimeout), maxBytes: maxBodyBytes,
	})
	if err != nil {
		return nil, err
	}
	return decodeMachines(response.body)
}

// decodeMachines decodes the body of a response with the machine list.
func decodeMachines(text []byte) ([]Machine, error) {
	var body struct {
		Machines *[]Machine `json:"machines"`
	}
	if err := json.Unmarshal(text, &body); err != nil || body.Machines == nil {
		return nil, fault.New(fault.Source, invalidResponseRemedy, "the response of the machine list is truncated or not JSON")
	}
	return slices.DeleteFunc(*body.Machines, func(machine Machine) bool { return !machine.valid() }), nil
}

// valid reports whether the entry is complete and valid.
func (m Machine) valid() bool {
	_, err := netip.ParseAddrPort(m.Peer)
	return err == nil && m.Name != "" && (m.State == MachineLive || m.State == MachineLeaving)
}

const (
	invalidResponseRemedy = "check the platform's service; the last valid version stays in force"
	unreachableRemedy     = "check that the platform's service runs and is reachable; the last valid version stays in force"
)

// defaultClient keeps few idle connections and follows no redirects.
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

// readBufferBytes is the size of a connection's read buffer and of its write buffer.
const readBufferBytes = 4 << 10

// getRequest describes a GET request.
type getRequest struct {
	client   *http.Client
	base     string
	path     string
	query    url.Values
	node     string
	etag     string
	timeout  time.Duration
	maxBytes int64 // maximum size of the response body
}

// getResponse is a checked response with status 200 or 304.
type getResponse struct {
	body        []byte
	etag        string
	notModified bool
}

// retryAfterError is a response with a Retry-After header.
type retryAfterError struct {
	wait time.Duration
}

// Error implements the error interface.
func (b *retryAfterError) Error() string {
	return fmt.Sprintf("the service asks to retry after %v", b.wait)
}

// RetryAfter returns the wait that the service requested in the response that caused
// err, at most 5 minutes, and 0 if it requested none.
func RetryAfter(err error) time.Duration {
	var busy *retryAfterError
	if errors.As(err, &busy) {
		return busy.wait
	}
	return 0
}

// get sends a request and checks the response's status, content type and size.
func get(ctx context.Context, q getRequest) (getResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	request, err := q.build(ctx)
	if err != nil {
		return getResponse{}, err
	}
	client := q.client
	if client == nil {
		client = defaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return getResponse{}, fault.Wrap(withoutURL(err), fault.Source, unreachableRemedy, "no response from %s", q.path)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && q.etag != "" {
		return getResponse{notModified: true}, nil
	}
	if response.StatusCode != http.StatusOK {
		return getResponse{}, statusError(q.path, response)
	}
	return q.read(response)
}

// withoutURL removes the URL from an error of the HTTP client. The URL contains the
// jittered wait, so that the same failure would have a different text, and be logged
// again, each time.
func withoutURL(err error) error {
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return urlError.Err
	}
	return err
}

// build returns the request as an http.Request.
func (q getRequest) build(ctx context.Context) (*http.Request, error) {
	target := q.base + q.path
	if len(q.query) > 0 {
		target += "?" + q.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, "correct the source's URL in the settings", "the source's URL %q is invalid", q.base)
	}
	request.Header.Set(nodeHeader, q.node)
	request.Header.Set("Accept", "application/json")
	if q.etag != "" {
		request.Header.Set("If-None-Match", q.etag)
	}
	return request, nil
}

// read checks the content type and reads the body, up to the maximum size.
func (q getRequest) read(response *http.Response) (getResponse, error) {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || kind != "application/json" {
		return getResponse{}, fault.New(fault.Source, invalidResponseRemedy, "the response of %s has content type %q, not application/json",
			q.path, response.Header.Get("Content-Type"))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, q.maxBytes+1))
	if err != nil {
		return getResponse{}, fault.Wrap(err, fault.Source, invalidResponseRemedy, "the response of %s ended early", q.path)
	}
	if int64(len(body)) > q.maxBytes {
		return getResponse{}, fault.New(fault.Source, invalidResponseRemedy, "the response of %s has more than %d bytes", q.path, q.maxBytes)
	}
	return getResponse{body: body, etag: response.Header.Get("ETag")}, nil
}

// maxRetryAfter is the upper bound of the wait that a service can request.
const maxRetryAfter = 5 * time.Minute

// statusError returns the error for a response with another status than 200 and 304.
func statusError(path string, response *http.Response) error {
	wait := min(parseRetryAfter(response.Header.Get("Retry-After")), maxRetryAfter)
	if wait <= 0 {
		return fault.New(fault.Source, unreachableRemedy, "%s responded with status %d", path, response.StatusCode)
	}
	return fault.Wrap(&retryAfterError{wait: wait}, fault.Source, unreachableRemedy, "%s responded with status %d", path, response.StatusCode)
}

// parseRetryAfter parses a Retry-After header, in seconds or as a date (RFC 9110 section
// 10.2.3). It returns 0 for a malformed value. The result may be negative.
func parseRetryAfter(value string) time.Duration {
	if seconds, err := strconv.Atoi(value); err == nil {
		return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
	}
	if date, err := http.ParseTime(value); err == nil {
		return time.Until(date)
	}
	return 0
}
