// Package replicator runs a node's replication: a single goroutine owns the pure machine, polls
// the store, follows another node and relays updates to its followers. Nothing else writes that
// state.
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
	"sliphead/internal/sockets"
)

// ErrHistoryGone is returned by Store.Changes if the store no longer has the changes after the
// requested revision.
var ErrHistoryGone = errors.New("the store no longer has the requested history")

// Store is a linearizable store. The replicator only reads it.
type Store interface {
	// Snapshot returns a full snapshot. It calls began when the response begins to arrive.
	Snapshot(ctx context.Context, began func()) (catalog.StoreResponse, error)
	// Changes returns the changes after a revision; if there are none, it waits for the first
	// one, up to the given time. It returns ErrHistoryGone if these changes are no longer
	// available. It calls began when the response begins to arrive.
	Changes(ctx context.Context, after uint64, wait time.Duration, began func()) (catalog.StoreResponse, error)
	// Recorded reports whether an instance has a record.
	Recorded(ctx context.Context, id string) (bool, error)
}

// Config configures a Replicator. All fields but Regions, Fast, Received and Now are required.
type Config struct {
	Address   string // IP address by which other nodes reach this one
	Port      string // of the peer listener, the same on all nodes
	Listen    string // IP address of the peer listener and of this node's connections
	Zone      string
	Regions   map[string]string // by zone; nil if unknown
	Freshness time.Duration     // the age within which a change has to be known
	Fast      bool              // whether this node's link is fast (replication.FastLink); false if unknown
	Store     Store
	Problem   func(error) // called with the error for each item of the store that can't be used
	Logger    log.Interface
	// Changed is called after each change with the state and the instances whose records have
	// expired. It blocks the owner goroutine, and must not retain the state.
	Changed func(*catalog.State, []replication.Lapse)
	// Retain is called when this node starts or stops retaining its local worker, whose record has
	// expired: see replication.Retain.
	Retain func(bool)
	// Received is called with the size of each store response, in bytes. It must not block; nil:
	// not called.
	Received func(bytes int)
	// Now is the clock used for ages. The default is that of package clock, because the catalog
	// also ages while the machine is suspended.
	Now func() time.Time
}

// Durations as shares of Config.Freshness.
const (
	tickShare                 = 0.04
	heartbeatShare            = 0.12 // interval between messages to followers
	responseTimeoutShare      = 0.2  // for a response of the store, beyond the requested wait
	snapshotTimeoutShare      = 0.6  // for a full snapshot
	firstSnapshotTimeoutShare = 1.0  // for a full snapshot while the catalog is empty
	recordTimeoutShare        = 0.3  // for a single record
)

const inputQueue = 256

// Replicator runs the replication of one node.
type Replicator struct {
	config            Config
	machine           *replication.Machine
	inputs            chan any
	followers         map[*follower]struct{}
	lastSent          time.Time // when the followers were last sent a message
	stream            *stream   // from the followed node, nil for none
	lastEncoded       encodedUpdate
	succeeded, failed uint64                    // store calls
	announcing        map[string]bool           // by address: nodes to which announcements are being sent
	confirmed         atomic.Pointer[time.Time] // when the store last confirmed the catalog in force; nil while the catalog is empty
}

// New returns a replicator with an empty catalog.
func New(config Config) *Replicator {
	if config.Now == nil {
		config.Now = clock.Now
	}
	machine := replication.New(replication.Config{Self: config.Address, Zone: config.Zone, Regions: config.Regions, Freshness: config.Freshness, Fast: config.Fast}, config.Now())
	return &Replicator{config: config, machine: machine, inputs: make(chan any, inputQueue), followers: map[*follower]struct{}{}, announcing: map[string]bool{}}
}

// ReportSeen reports that another node has contacted this one. It does not block: if the queue is
// full, the report is dropped.
func (r *Replicator) ReportSeen(address string) {
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
	defer sockets.CloseOnDone(ctx, listener)()
	group.Go(func() error { return r.accept(ctx, listener) })
	group.Go(func() error {
		r.runOwner(ctx)
		return nil
	})
	return group.Wait()
}

// runOwner runs the goroutine that owns the state.
func (r *Replicator) runOwner(ctx context.Context) {
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
			r.heartbeatIfDue()
		case input := <-r.inputs:
			r.handle(ctx, input)
		}
	}
}

func (r *Replicator) handle(ctx context.Context, input any) {
	switch input := input.(type) {
	case replication.Event:
		r.countStoreCalls(input)
		before := r.machine.Confirmed()
		r.step(ctx, input)
		r.sendConfirmation(before)
	case *follower:
		r.addFollower(input)
	case followerLost:
		r.onFollowerLost(ctx, input.follower)
	case announcementsEnded:
		delete(r.announcing, input.address)
	case streamMessage:
		r.onStreamMessage(ctx, input)
	case statusRequest:
		input.reply <- r.status()
	}
}

func (r *Replicator) countStoreCalls(event replication.Event) {
	switch event.(type) {
	case replication.PollSucceeded, replication.RecordChecked:
		r.succeeded++
	case replication.PollFailed, replication.RecordCheckFailed:
		r.failed++
	}
}

// onStreamMessage passes an update from the followed node to the machine. Messages of an earlier
// stream that are still queued are ignored.
func (r *Replicator) onStreamMessage(ctx context.Context, message streamMessage) {
	if message.stream != r.stream {
		return
	}
	if message.lost {
		r.announceRepeatedly(ctx, message.stream.address)
		r.step(ctx, replication.PeerLost{Address: message.stream.address})
		return
	}
	r.step(ctx, replication.Update{From: message.stream.address, Reader: message.update.Reader, Serial: message.update.Serial, Batch: message.update.Batch, Age: message.update.Age, Preferred: message.update.Preferred})
}

// sendConfirmation sends followers a new confirmation by the store at once; otherwise their
// catalogs would appear older by up to a heartbeat interval.
func (r *Replicator) sendConfirmation(before time.Time) {
	if r.machine.Confirmed().After(before) {
		r.sendToFollowers()
	}
}

func (r *Replicator) step(ctx context.Context, event replication.Event) {
	for _, effect := range r.machine.Step(event, r.config.Now()) {
		switch effect := effect.(type) {
		case replication.Poll:
			go r.pollStore(ctx, effect)
		case replication.CheckRecord:
			go r.checkRecord(ctx, effect.ID)
		case replication.Follow:
			r.follow(ctx, effect.Address)
		case replication.Changed:
			r.config.Changed(r.machine.State(), r.machine.Lapses())
			r.sendToFollowers()
		case replication.Announce:
			go r.announce(ctx, effect)
		case replication.Retain:
			r.config.Retain(effect.Retains)
		case replication.Log:
			r.log(effect)
		}
	}
	r.publishConfirmed() // only after the effects have put the change in force
}

// pollStore polls the store and passes the result to the owner.
func (r *Replicator) pollStore(ctx context.Context, poll replication.Poll) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(r.timeout(poll), cancel)
	defer timer.Stop()
	var startedAt time.Time // when the response began to arrive
	response, err := r.fetch(pollCtx, poll, func() {
		if startedAt.IsZero() {
			startedAt = r.config.Now()
			timer.Reset(r.share(snapshotTimeoutShare))
		}
	})
	if err != nil {
		timedOut := startedAt.IsZero() && pollCtx.Err() != nil
		r.submit(ctx, replication.PollFailed{Err: err, HistoryGone: errors.Is(err, ErrHistoryGone), TimedOut: timedOut})
		return
	}
	if r.config.Received != nil {
		r.config.Received(response.Bytes)
	}
	// The response lacks what was written while it was in transit, so it confirms the state of
	// the store at its start.
	r.submit(ctx, replication.PollSucceeded{Batch: response.Batch(r.config.Problem), ConfirmedAt: startedAt})
}

// checkRecord requests one record from the store and reports to the owner whether the store
// responded.
func (r *Replicator) checkRecord(ctx context.Context, id string) {
	checkCtx, cancel := context.WithTimeout(ctx, r.share(recordTimeoutShare))
	defer cancel()
	if _, err := r.config.Store.Recorded(checkCtx, id); err != nil {
		r.submit(ctx, replication.RecordCheckFailed{ID: id})
		return
	}
	r.submit(ctx, replication.RecordChecked{ID: id})
}

// timeout bounds the wait for the start of a response. The rest of a long response may take
// longer: on a narrow link a slow transfer does not show that the store is unreachable.
func (r *Replicator) timeout(poll replication.Poll) time.Duration {
	switch {
	case !poll.Snapshot:
		return poll.Wait + r.share(responseTimeoutShare)
	case poll.After == 0:
		return r.share(firstSnapshotTimeoutShare)
	default:
		return r.share(snapshotTimeoutShare)
	}
}

func (r *Replicator) fetch(ctx context.Context, poll replication.Poll, began func()) (catalog.StoreResponse, error) {
	if poll.Snapshot {
		return r.config.Store.Snapshot(ctx, began)
	}
	return r.config.Store.Changes(ctx, poll.After, poll.Wait, began)
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

// submit queues an input for the owner. It blocks while the queue is full, until ctx ends.
func (r *Replicator) submit(ctx context.Context, input any) {
	select {
	case r.inputs <- input:
	case <-ctx.Done():
	}
}

func (r *Replicator) share(part float64) time.Duration {
	return time.Duration(part * float64(r.config.Freshness))
}
