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

// Result is what one read brought: a document with the secrets held so far, or
// an error. A result with a secret that came later repeats the document.
type Result struct {
	Document *declaration.Document
	Revision uint64
	Secrets  map[string]string // by name; those that could not be read are missing
	Err      error
}

// Reader reads the source while the node has the duty to.
type Reader struct {
	Configuration *Configuration
	Parse         func([]byte) (*declaration.Document, error) // declaration.Parse
	Emit          func(Result)                                // called from Run's goroutine; must not block long
	LongPoll      time.Duration                               // 0 asks each Interval
	Interval      time.Duration                               // between questions to a source that does not wait; default 1 s
	SecretRetry   time.Duration                               // middle of the wait for a missing secret; default 2 s
	BackoffBase   time.Duration                               // default 200 ms
	BackoffMax    time.Duration                               // default 10 s
	Logger        log.Interface
	Random        *rand.Rand // jitter; used by Run's goroutine only

	failures int
	problems *logging.Problems
	etag     string
	current  Result
	sound    bool // whether the document given last is the current one
	reads    atomic.Uint64
	answered atomic.Pointer[time.Time]
}

// minInterval is the least time between two questions, whatever the source
// answers.
const minInterval = 50 * time.Millisecond

// Reads returns how many questions were asked of the source, secrets included.
func (r *Reader) Reads() uint64 { return r.reads.Load() }

// LastRead returns when the source last answered as it should, also that there
// is no news; zero before the first time.
func (r *Reader) LastRead() time.Time {
	if answered := r.answered.Load(); answered != nil {
		return *answered
	}
	return time.Time{}
}

// Run reads whenever duty is on. duty delivers changes of the duty; its first
// value is awaited. Run returns when ctx ends, after its last question ended.
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
		on, ended = r.serve(ctx, duty)
		if ended {
			return
		}
	}
}

// setDefaults fills the optional fields.
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

// serve reads until the duty changes or ctx ends. It starts without an ETag,
// so that a node that takes the duty on again reads the document afresh.
func (r *Reader) serve(ctx context.Context, duty <-chan bool) (on, ended bool) {
	dutyContext, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.read(dutyContext)
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

// read asks again and again until ctx ends.
func (r *Reader) read(ctx context.Context) {
	r.etag, r.current, r.sound = "", Result{}, false
	for ctx.Err() == nil {
		started := time.Now()
		news, err := r.once(ctx)
		if ctx.Err() != nil {
			return
		}
		sleep.For(ctx, r.pause(news, err, time.Since(started)))
	}
}

// pause returns the wait before the next question. After news the next may
// come soon; a source that answers at once that there is none does not poll
// long, and is asked at the interval.
func (r *Reader) pause(news bool, err error, took time.Duration) time.Duration {
	if err != nil {
		r.report(err)
		return max(minInterval, r.backoff(err))
	}
	r.recovered(news)
	if news {
		return minInterval
	}
	return max(minInterval, r.Interval-took)
}

// once asks for the document, and while secrets are missing for these. It
// reports whether the document was new.
func (r *Reader) once(ctx context.Context) (news bool, err error) {
	wait := r.LongPoll
	missing := r.missing()
	if len(missing) > 0 {
		wait = min(wait, jittered(r.Random, r.SecretRetry))
	}
	if r.failures > 0 {
		wait = 0 // whether it answers again is to be known at once
	}
	r.reads.Add(1)
	document, err := r.Configuration.Fetch(ctx, r.etag, wait)
	if err != nil {
		return false, err
	}
	answered := time.Now()
	r.answered.Store(&answered)
	if document != nil && (document.ETag == "" || document.ETag != r.etag) {
		r.take(ctx, document)
		return true, nil
	}
	if len(missing) > 0 && r.askSecrets(ctx, missing) {
		r.Emit(r.copy())
	}
	return false, nil
}

// take parses a new document, asks for its secrets and emits both. A document
// that is refused keeps its ETag, so that it is not read again and again.
func (r *Reader) take(ctx context.Context, document *Document) {
	parsed, err := r.Parse(document.Raw)
	r.etag = document.ETag
	r.sound = err == nil
	if err != nil {
		r.problems.Log("source.documentRefused", "", err, logging.Fields{"revision": document.Revision})
		r.Emit(Result{Revision: document.Revision, Err: err})
		return
	}
	r.problems.Settled("source.documentRefused", "")
	r.current = Result{Document: parsed, Revision: document.Revision, Secrets: make(map[string]string, len(parsed.Secrets))}
	r.askSecrets(ctx, r.missing())
	if ctx.Err() == nil {
		r.Emit(r.copy())
	}
}

// missing returns the names of the secrets declared and not held.
func (r *Reader) missing() []string {
	if r.current.Document == nil {
		return nil
	}
	var names []string
	for _, secret := range r.current.Document.Secrets {
		if _, held := r.current.Secrets[secret.Name]; !held {
			names = append(names, secret.Name)
		}
	}
	return names
}

// askSecrets asks for secrets and reports whether one came.
func (r *Reader) askSecrets(ctx context.Context, names []string) bool {
	came := false
	for _, name := range names {
		r.reads.Add(1)
		value, err := r.Configuration.Secret(ctx, name)
		if ctx.Err() != nil {
			return came
		}
		if err != nil {
			r.problems.Log("source.secretMissing", name, err, logging.Fields{"secret": name})
			continue
		}
		r.problems.Settled("source.secretMissing", name)
		r.current.Secrets[name] = value
		came = true
	}
	return came
}

// copy returns the current result with its own map, as the receiver keeps it.
func (r *Reader) copy() Result {
	result := r.current
	result.Secrets = make(map[string]string, len(r.current.Secrets))
	for name, value := range r.current.Secrets {
		result.Secrets[name] = value
	}
	return result
}

// report logs a failure once per cause and emits it.
func (r *Reader) report(err error) {
	r.failures++
	r.problems.Log("source.failed", "", err, logging.Fields{"kind": fault.KindOf(err)})
	r.Emit(Result{Err: err})
}

// recovered ends a row of failures. Without news the document held is emitted
// again, unless the source has given one since that was refused: the receiver
// must not take the source as failing for ever.
func (r *Reader) recovered(news bool) {
	if r.failures == 0 {
		return
	}
	logging.Event(r.Logger, "source.recovered", logging.Fields{"failures": r.failures})
	r.failures = 0
	r.problems.Settled("source.failed", "")
	if !news && r.sound {
		r.Emit(r.copy())
	}
}

// backoff returns the wait after a failure: full jitter over a bound that
// grows exponentially, or beyond the time that the service asked for.
func (r *Reader) backoff(err error) time.Duration {
	bound := r.BackoffMax
	if shift := r.failures - 1; shift < 16 {
		bound = min(bound, r.BackoffBase<<max(shift, 0))
	}
	return RetryAfter(err) + time.Duration(r.Random.Int64N(int64(bound)+1))
}
