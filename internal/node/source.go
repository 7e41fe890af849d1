package node

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"sliphead/internal/control"
	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/internal/membership"
	"sliphead/internal/settings"
	"sliphead/internal/snapshot"
	"sliphead/internal/source"
)

// sourceDuty reads the platform: the configuration while this node has reader
// duty, the machine list while it has the duty or knows no other node.
type sourceDuty struct {
	reader   *source.Reader
	machines *source.Machines
	interval time.Duration
	loop     *control.Loop
	logger   log.Interface
	duty     chan bool
}

// readSpacing is the least time between two questions to the source. With long
// polls there is one question for each change, so that it only bounds bursts.
const readSpacing = 100 * time.Millisecond

// dutyQueue holds changes of duty that the reader has not seen yet.
const dutyQueue = 16

func newSourceDuty(configured *settings.Settings, loop *control.Loop, logger log.Interface) *sourceDuty {
	duty := &sourceDuty{
		interval: configured.Source.MachinesInterval.Duration,
		loop:     loop,
		logger:   logger,
		duty:     make(chan bool, dutyQueue),
	}
	duty.reader = &source.Reader{
		Configuration: &source.Configuration{
			Base:    configured.Source.Configuration,
			Node:    configured.Name,
			Timeout: configured.Source.Timeout.Duration,
		},
		Parse:    declaration.Parse,
		Interval: readSpacing,
		LongPoll: configured.Source.LongPoll.Duration,
		Logger:   logger,
		Random:   newRandom(),
	}
	if configured.Source.Machines != "" {
		duty.machines = &source.Machines{
			Base:    configured.Source.Machines,
			Node:    configured.Name,
			Timeout: configured.Source.Timeout.Duration,
		}
	}
	return duty
}

// setDuty tells the reader of a change. Only the control loop calls it.
func (d *sourceDuty) setDuty(reader bool) {
	for {
		select {
		case d.duty <- reader:
			return
		default:
		}
		select { // the queue is full of changes overtaken by this one
		case <-d.duty:
		default:
		}
	}
}

// run reads until ctx ends.
func (d *sourceDuty) run(ctx context.Context) error {
	d.reader.Emit = func(result source.Result) { d.take(ctx, result) }
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		d.reader.Run(ctx, d.duty)
		return nil
	})
	if d.machines != nil {
		group.Go(func() error {
			d.watchMachines(ctx)
			return nil
		})
	}
	return group.Wait()
}

// take turns what was read into a set and hands it to the control loop.
func (d *sourceDuty) take(ctx context.Context, result source.Result) {
	if result.Err != nil {
		d.loop.SourceFailed(ctx, result.Err)
		return
	}
	set, err := snapshot.Build(result.Document, result.Revision, result.Secrets)
	if err != nil {
		d.loop.SourceFailed(ctx, fault.Wrap(err, fault.Source, "mend the declarations at the source", "revision %d is unusable", result.Revision))
		return
	}
	d.loop.SourceRead(ctx, set)
}

// watchMachines reads the machine list at jittered intervals, but only while
// somebody has to: readers by duty, and a node that knows no other.
func (d *sourceDuty) watchMachines(ctx context.Context) {
	random := newRandom()
	for {
		wait := d.interval/2 + time.Duration(random.Int64N(int64(d.interval)))
		status := d.loop.Status(ctx)
		if len(status.Members) <= 1 {
			wait = time.Duration(random.Int64N(int64(time.Second))) + time.Second/2
		}
		if status.Distribution.Reader || len(status.Members) <= 1 {
			d.readMachines(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// readMachines reads the list once. A failure costs nothing: the list only
// proposes, and the failure detector knows better.
func (d *sourceDuty) readMachines(ctx context.Context) {
	listed, err := d.machines.Fetch(ctx)
	if err != nil {
		d.logger.WithError(err).Debug("machines.unread")
		return
	}
	machines := make([]membership.ListedMachine, 0, len(listed))
	for _, machine := range listed {
		machines = append(machines, membership.ListedMachine{
			Name:    machine.Name,
			Zone:    machine.Zone,
			Region:  machine.Region,
			Service: machine.Service,
			Peer:    machine.Peer,
			Leaving: machine.State == source.MachineLeaving,
		})
	}
	d.loop.MachinesRead(ctx, machines)
}
