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

// aloneInterval is the middle of the wait between two reads of the machine list
// by a node that knows no other.
const aloneInterval = time.Second

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
// somebody has to: readers by duty, and a node that knows no other. A failure
// costs nothing: the list only proposes, and the failure detector knows better.
func (d *sourceDuty) watchMachines(ctx context.Context) {
	due := func() (bool, time.Duration) {
		status := d.loop.Status(ctx)
		if len(status.Members) <= 1 {
			return true, aloneInterval
		}
		return status.Distribution.Reader, d.interval
	}
	d.machines.Poll(ctx, due, newRandom(), d.logger, func(listed []source.Machine) {
		d.loop.MachinesRead(ctx, proposals(listed))
	})
}

// proposals translates the list for membership.
func proposals(listed []source.Machine) []membership.ListedMachine {
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
	return machines
}
