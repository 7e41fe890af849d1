package source

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/internal/logging"
	"sliphead/internal/sleep"
)

// Result is the outcome of one read: a document with the secrets fetched so far, or
// an error. When a secret is fetched later, another Result repeats the document.
type Result struct {
	Document *declaration.Document
	Revision uint64
	Secrets  map[string]string // by name; without those that could not be fetched
	Err      error
}

// Reader polls the configuration service while the node has the duty to read it. The
// exported fields must be set before Run.
type Reader struct {
	Configuration *Configuration
	Parse         func([]byte) (*declaration.Document, error) // such as declaration.Parse
	Emit          func(Result)                                // called from one goroutine at a time; must not block for long
	LongPoll      time.Duration                               // wait of a long poll; 0: polls at each Interval
	Interval      time.Duration                               // between requests when the service doesn't wait; default: 1 s
	SecretRetry   time.Duration                               // mean wait before a missing secret is requested again; default: 2 s
	BackoffBase   time.Duration                               // upper bound of the first backoff; default: 200 ms
	BackoffMax    time.Duration                               // upper bound of every backoff; default: 10 s
	Logger        log.Interface                               // default: discards
	Random        *rand.Rand                                  // source of jitter; not used concurrently by the reader

	failures      int // consecutive
	problems      *logging.Problems
	etag          string
	current       Result
	documentValid bool // whether the last document received was valid and is the current one
	requests      atomic.Uint64
	lastResponse  atomic.Pointer[time.Time] // time of the last valid response
}

// minInterval is the minimum time between two requests, whatever the service
// responds.
const minInterval = 50 * time.Millisecond

// Reads returns the number of requests sent to the service, including those for
// secrets. It is safe for concurrent use.
func (r *Reader) Reads() uint64 { return r.requests.Load() }

// LastRead returns the time of the last valid response for the document, including
// 304. It is zero before the first one. It is safe for concurrent use.
func (r *Reader) LastRead() time.Time {
	if responded := r.lastResponse.Load(); responded != nil {
		return *responded
	}
	return time.Time{}
}

// Run polls the service while the node has the duty. The channel duty delivers
// changes of the duty, which is off until the first value. Run returns when ctx ends,
// after its last request has ended.
func (r *Reader) Run(ctx context.Context, duty <-chan bool) {
	r.setDefaults()
	for on := false; ; {
		if !on {
			select {
			case on = <-duty:
			case <-ctx.Done():
				return
			}
			continue
		}
		var ended bool
		on, ended = r.readWhileOnDuty(ctx, duty)
		if ended {
			return
		}
	}
}

// setDefaults sets the defaults of optional fields.
func (r *Reader) setDefaults() {
	for field, value := range map[*time.Duration]time.Duration{
		&r.Interval: time.Second, &r.SecretRetry: 2 * time.Second, &r.BackoffBase: 200 * time.Millisecond, &r.BackoffMax: 10 * time.Second,
	} {
		if *field == 0 {
			*field = value
		}
	}
	if r.Logger == nil {
		r.Logger = logging.Discard()
	}
	r.problems = logging.NewProblems(r.Logger)
}

// readWhileOnDuty polls until the duty ends or ctx ends. It starts without an ETag, so
// that a node that takes over the duty again fetches the complete document.
func (r *Reader) readWhileOnDuty(ctx context.Context, duty <-chan bool) (on, ended bool) {
	dutyContext, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.readLoop(dutyContext)
	}()
	defer func() { <-done }()
	defer cancel()
	for {
		select {
		case on = <-duty:
			if !on {
				return false, false
			}
		case <-ctx.Done():
			return false, true
		}
	}
}

// readLoop polls until ctx ends.
func (r *Reader) readLoop(ctx context.Context) {
	r.etag, r.current, r.documentValid = "", Result{}, false
	for ctx.Err() == nil {
		started := time.Now()
		updated, err := r.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		sleep.For(ctx, r.nextDelay(updated, err, time.Since(started)))
	}
}

// nextDelay records the result of a request and returns the wait before the next one.
// It is short after a new document, because another may follow soon. A service that
// responds immediately that nothing has changed doesn't support long polls and is polled at
// Interval.
func (r *Reader) nextDelay(updated bool, err error, took time.Duration) time.Duration {
	if err != nil {
		r.recordFailure(err)
		return max(minInterval, r.backoff(err))
	}
	r.recordSuccess(updated)
	if updated {
		return minInterval
	}
	return max(minInterval, r.Interval-took)
}

// readOnce requests the document and the missing secrets. It reports whether the document
// was new.
func (r *Reader) readOnce(ctx context.Context) (updated bool, err error) {
	wait := r.LongPoll
	missing := r.missingSecrets()
	if len(missing) > 0 {
		wait = min(wait, jittered(r.Random, r.SecretRetry))
	}
	if r.failures > 0 {
		wait = 0 // no long poll, to detect a recovery without delay
	}
	r.requests.Add(1)
	document, err := r.Configuration.Fetch(ctx, r.etag, wait)
	if err != nil {
		return false, err
	}
	responded := time.Now()
	r.lastResponse.Store(&responded)
	if document != nil && (document.ETag == "" || document.ETag != r.etag) {
		r.acceptDocument(ctx, document)
		return true, nil
	}
	if len(missing) > 0 && r.fetchSecrets(ctx, missing) {
		r.Emit(r.copy())
	}
	return false, nil
}

// acceptDocument parses a new document, fetches its secrets and emits both. The ETag of an
// invalid document is stored too, so that the document is not fetched repeatedly.
func (r *Reader) acceptDocument(ctx context.Context, document *Document) {
	parsed, err := r.Parse(document.Raw)
	r.etag = document.ETag
	r.documentValid = err == nil
	if err != nil {
		r.problems.Log("source.documentRefused", "", err, logging.Fields{"revision": document.Revision})
		r.Emit(Result{Revision: document.Revision, Err: err})
		return
	}
	r.problems.Resolve("source.documentRefused", "")
	r.current = Result{Document: parsed, Revision: document.Revision, Secrets: make(map[string]string, len(parsed.Secrets))}
	r.fetchSecrets(ctx, r.missingSecrets())
	if ctx.Err() == nil {
		r.Emit(r.copy())
	}
}

// missingSecrets returns the names of the declared secrets that have not been fetched.
func (r *Reader) missingSecrets() []string {
	if r.current.Document == nil {
		return nil
	}
	var names []string
	for _, secret := range r.current.Document.Secrets {
		if _, found := r.current.Secrets[secret.Name]; !found {
			names = append(names, secret.Name)
		}
	}
	return names
}

// fetchSecrets requests secrets and reports whether it received at least one.
func (r *Reader) fetchSecrets(ctx context.Context, names []string) bool {
	received := false
	for _, name := range names {
		r.requests.Add(1)
		value, err := r.Configuration.Secret(ctx, name)
		if ctx.Err() != nil {
			return received
		}
		if err != nil {
			r.problems.Log("source.secretMissing", name, err, logging.Fields{"secret": name})
			continue
		}
		r.problems.Resolve("source.secretMissing", name)
		r.current.Secrets[name] = value
		received = true
	}
	return received
}

// copy returns the current result with a copy of the map, because the receiver
// retains it.
func (r *Reader) copy() Result {
	result := r.current
	result.Secrets = make(map[string]string, len(r.current.Secrets))
	for name, value := range r.current.Secrets {
		result.Secrets[name] = value
	}
	return result
}

// recordFailure counts a failure, logs it once per cause and emits it.
func (r *Reader) recordFailure(err error) {
	r.failures++
	r.problems.Log("source.failed", "", err, logging.Fields{"kind": fault.KindOf(err)})
	r.Emit(Result{Err: err})
}

// recordSuccess resets the failures after a valid response. If the document has not
// changed, it is emitted again, so that the receiver does not regard the source as
// failing for ever. It is not emitted if a later document was invalid.
func (r *Reader) recordSuccess(updated bool) {
	if r.failures == 0 {
		return
	}
	logging.Event(r.Logger, "source.recovered", logging.Fields{"failures": r.failures})
	r.failures = 0
	r.problems.Resolve("source.failed", "")
	if !updated && r.documentValid {
		r.Emit(r.copy())
	}
}

// backoff returns the wait after a failure: the time that the service requested, if
// any, plus full jitter over a bound that grows exponentially up to BackoffMax.
func (r *Reader) backoff(err error) time.Duration {
	bound := r.BackoffMax
	if shift := r.failures - 1; shift < 16 {
		bound = min(bound, r.BackoffBase<<max(shift, 0))
	}
	return RetryAfter(err) + time.Duration(r.Random.Int64N(int64(bound)+1))
}
