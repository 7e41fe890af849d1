// Package replicator runs a node's replication: one goroutine owns the pure
// machine, asks the store, follows another node and passes on to followers what
// it learns. Nothing else writes that state.
package replicator

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"sliphead/internal/catalog"
	"sliphead/internal/clock"
	"sliphead/internal/fault"
	"sliphead/internal/liveness"
	"sliphead/internal/logging"
	"sliphead/internal/replication"
)

// ErrHistoryGone is what a Store's Changes returns when the store no longer
// knows the changes after the revision that was asked for.
var ErrHistoryGone = errors.New("the store has dropped its history")

// Store is a linearizable store of which this system only reads.
type Store interface {
	// Whole returns everything that there is. Began is called when an answer begins
	// to come.
	Whole(ctx context.Context, began func()) (catalog.Answer, error)
	// Changes returns the changes after a revision, once there is one or the
	// wait is over. The error is ErrHistoryGone when they are not known. Began is
	// called when the answer begins to come.
	Changes(ctx context.Context, after uint64, wait time.Duration, began func()) (catalog.Answer, error)
	// Recorded reports whether there is a record of an instance.
	Recorded(ctx context.Context, id string) (bool, error)
}

// Config is what a replicator is made of. All fields but Fast and Regions are required.
type Config struct {
	Address   string            // IP address by which other nodes reach this one
	Port      string            // of the peer listener, the same on all nodes
	Listen    string            // IP address of the peer listener and of this node's connections
	Zone      string            //
	Regions   map[string]string // by zone; nil where they are not known
	Freshness time.Duration     // the age within which a change has to be known
	Fast      bool              // whether this node's link is fast (replication.FastLink); false where not known
	Store     Store
	Problem   func(error) // told of items of the store that can't be used
	Logger    log.Interface
	// Changed is called with the state after each change, and with the instances
	// whose records are gone. The owner's goroutine waits for it, and the state must
	// not be kept.
	Changed func(*catalog.State, []replication.Lapse)
	// Retain is called when this node begins or ends to answer for a worker without
	// a record.
	Retain func(bool)
	// Received is told how many bytes an answer of the store took. It must not wait;
	// nil: nobody asks.
	Received func(bytes int)
	// Now is the clock by which ages count; nil: that of package clock, since knowledge ages
	// while the machine is suspended, too.
	Now func() time.Time
}

// Shares of Config.Freshness.
const (
	tickShare     = 0.04
	beatShare     = 0.12 // between two messages to a follower
	answerTimeout = 0.2  // for an answer of the store, beyond the wait asked for
	wholeTimeout  = 0.6  // for the whole
	firstTimeout  = 1.0  // for the whole while nothing is known
	recordTimeout = 0.3  // for one record
)

const inputQueue = 256

// Replicator is one node's part in replication.
type Replicator struct {
	config           Config
	machine          *replication.Machine
	inputs           chan any
	followers        map[*follower]struct{}
	beat             time.Time // when followers were last written to
	stream           *stream   // the node that is followed, nil for none
	encoded          encodedNews
	answered, failed uint64                    // questions to the store
	announcing       map[string]bool           // by address: nodes that are sent announcements
	confirmed        atomic.Pointer[time.Time] // when the store was last known to have nothing newer; nil while nothing is known
}

// New returns a replicator that knows nothing yet.
func New(config Config) *Replicator {
	if config.Now == nil {
		config.Now = clock.Now
	}
	machine := replication.New(replication.Config{Self: config.Address, Zone: config.Zone, Regions: config.Regions, Freshness: config.Freshness, Fast: config.Fast}, config.Now())
	return &Replicator{config: config, machine: machine, inputs: make(chan any, inputQueue), followers: map[*follower]struct{}{}, announcing: map[string]bool{}}
}

// Seen tells that a node has spoken to this one. It does not wait.
func (r *Replicator) Seen(address string) {
	select {
	case r.inputs <- replication.PeerSeen{Address: address}:
	default:
	}
}

// Run replicates until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	listener, err := liveness.Listen(ctx, net.JoinHostPort(r.config.Listen, r.config.Port))
	if err != nil {
		return fault.Wrap(err, fault.Settings, "free the address or change listen.peer in the settings", "listen for peers")
	}
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	group.Go(func() error { return r.accept(ctx, listener) })
	group.Go(func() error {
		r.own(ctx)
		return nil
	})
	return group.Wait()
}

// own is the goroutine that owns the state.
func (r *Replicator) own(ctx context.Context) {
	ticker := time.NewTicker(r.share(tickShare))
	defer ticker.Stop()
	defer r.closeAll()
	r.step(ctx, replication.Tick{})
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.step(ctx, replication.Tick{})
			r.beatIfDue()
		case input := <-r.inputs:
			r.handle(ctx, input)
		}
	}
}

func (r *Replicator) handle(ctx context.Context, input any) {
	switch input := input.(type) {
	case replication.Event:
		r.count(input)
		before := r.machine.Confirmed()
		r.step(ctx, input)
		r.passConfirmation(before)
	case *follower:
		r.admit(input)
	case followerLost:
		r.lost(ctx, input.follower)
	case announced:
		delete(r.announcing, input.address)
	case streamMessage:
		r.receive(ctx, input)
	case statusRequest:
		input.reply <- r.status()
	}
}

// count counts the questions to the store.
func (r *Replicator) count(event replication.Event) {
	switch event.(type) {
	case replication.PollSucceeded, replication.RecordChecked:
		r.answered++
	case replication.PollFailed, replication.RecordCheckFailed:
		r.failed++
	}
}

// receive passes on what the followed node said. What a former stream had left
// in the queue is passed over.
func (r *Replicator) receive(ctx context.Context, message streamMessage) {
	if message.stream != r.stream {
		return
	}
	if message.lost {
		r.announceLater(ctx, message.stream.address)
		r.step(ctx, replication.PeerLost{Address: message.stream.address})
		return
	}
	r.step(ctx, replication.Update{From: message.stream.address, Reader: message.news.Reader, Serial: message.news.Serial, Batch: message.news.Batch, Age: message.news.Age, Preferred: message.news.Preferred})
}

// passConfirmation tells followers at once that the store has confirmed what
// they know: else their knowledge would seem older by the time between beats.
func (r *Replicator) passConfirmation(before time.Time) {
	if r.machine.Confirmed().After(before) {
		r.tellFollowers()
	}
}

func (r *Replicator) step(ctx context.Context, event replication.Event) {
	for _, effect := range r.machine.Step(event, r.config.Now()) {
		switch effect := effect.(type) {
		case replication.Poll:
			go r.question(ctx, effect)
		case replication.CheckRecord:
			go r.askRecord(ctx, effect.ID)
		case replication.Follow:
			r.follow(ctx, effect.Address)
		case replication.Changed:
			r.config.Changed(r.machine.State(), r.machine.Lapses())
			r.tellFollowers()
		case replication.Announce:
			go r.announce(ctx, effect)
		case replication.Retain:
			r.config.Retain(effect.Retains)
		case replication.Log:
			r.log(effect)
		}
	}
	r.noteConfirmed() // now that what was learnt is in force
}

// question asks the store and hands the answer to the owner.
func (r *Replicator) question(ctx context.Context, ask replication.Poll) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(r.timeout(ask), cancel)
	defer limit.Stop()
	var began time.Time // of the first answer
	answer, err := r.ask(bounded, ask, func() {
		if began.IsZero() {
			began = r.config.Now()
			limit.Reset(r.share(wholeTimeout))
		}
	})
	if err != nil {
		silent := began.IsZero() && bounded.Err() != nil
		r.submit(ctx, replication.PollFailed{Err: err, HistoryGone: errors.Is(err, ErrHistoryGone), TimedOut: silent})
		return
	}
	if r.config.Received != nil {
		r.config.Received(answer.Bytes)
	}
	// What was written while the answer was on its way is not in it: the store had
	// nothing newer when it began.
	r.submit(ctx, replication.PollSucceeded{Batch: answer.Batch(r.config.Problem), ConfirmedAt: began})
}

// askRecord asks the store for one record and tells the owner whether it answered.
func (r *Replicator) askRecord(ctx context.Context, id string) {
	bounded, cancel := context.WithTimeout(ctx, r.share(recordTimeout))
	defer cancel()
	if _, err := r.config.Store.Recorded(bounded, id); err != nil {
		r.submit(ctx, replication.RecordCheckFailed{ID: id})
		return
	}
	r.submit(ctx, replication.RecordChecked{ID: id})
}

// timeout bounds the wait for the first sign of an answer. A long answer then takes
// its time: on a narrow link that says nothing of the store.
func (r *Replicator) timeout(ask replication.Poll) time.Duration {
	switch {
	case !ask.Snapshot:
		return ask.Wait + r.share(answerTimeout)
	case ask.After == 0:
		return r.share(firstTimeout)
	default:
		return r.share(wholeTimeout)
	}
}

func (r *Replicator) ask(ctx context.Context, ask replication.Poll, began func()) (catalog.Answer, error) {
	if ask.Snapshot {
		return r.config.Store.Whole(ctx, began)
	}
	return r.config.Store.Changes(ctx, ask.After, ask.Wait, began)
}

func (r *Replicator) log(event replication.Log) {
	point := r.machine.State().Point()
	fields := logging.Fields{"revision": point.Revision}
	switch event.Event {
	case replication.EventStoreRestored:
		fields["era"], fields["before_era"], fields["before_revision"] = point.Era, event.Before.Era, event.Before.Revision
		fields["missing"], fields["doubted"] = event.Missing, event.Doubted
	case replication.EventRestoreSettled:
		fields["era"], fields["missing"], fields["doubted"] = point.Era, event.Missing, event.Doubted
	}
	if event.Peer != "" {
		fields["peer"] = event.Peer
	}
	if event.Revision > 0 {
		fields["told"] = event.Revision
	}
	if event.Duration > 0 {
		fields["gap_ms"] = event.Duration.Milliseconds()
	}
	if age, known := r.machine.Age(r.config.Now()); known {
		fields["age_ms"] = age.Milliseconds()
	}
	if event.Err != nil {
		logging.Problem(r.config.Logger, string(event.Event), event.Err, fields)
		return
	}
	logging.Event(r.config.Logger, string(event.Event), fields)
}

// submit hands an input to the owner and waits for room.
func (r *Replicator) submit(ctx context.Context, input any) {
	select {
	case r.inputs <- input:
	case <-ctx.Done():
	}
}

func (r *Replicator) share(part float64) time.Duration {
	return time.Duration(part * float64(r.config.Freshness))
}
