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

// dutyReader reads from the platform: the configuration while this node has reader duty, the
// machine list while it has the duty or has discovered no other node.
type dutyReader struct {
	reader      *source.Reader
	machines    *source.Machines
	interval    time.Duration
	loop        *control.Loop
	logger      log.Interface
	dutyChanges chan bool // changes of reader duty
}

// minReadInterval is the minimum time between two requests to the source. Long polls make one
// request for each change, so it only limits bursts.
const minReadInterval = 100 * time.Millisecond

// isolatedInterval is the mean interval between reads of the machine list by a node that has
// discovered no other.
const isolatedInterval = time.Second

// dutyQueueLength is the capacity of the queue of duty changes that the reader has not yet
// processed.
const dutyQueueLength = 16

func newDutyReader(configured *settings.Settings, loop *control.Loop, logger log.Interface) *dutyReader {
	d := &dutyReader{
		interval:    configured.Source.MachinesInterval.Duration,
		loop:        loop,
		logger:      logger,
		dutyChanges: make(chan bool, dutyQueueLength),
	}
	d.reader = &source.Reader{
		Configuration: &source.Configuration{
			Base:    configured.Source.Configuration,
			Node:    configured.Name,
			Timeout: configured.Source.Timeout.Duration,
		},
		Parse:    declaration.Parse,
		Interval: minReadInterval,
		LongPoll: configured.Source.LongPoll.Duration,
		Logger:   logger,
		Random:   newRandom(),
	}
	if configured.Source.Machines != "" {
		d.machines = &source.Machines{
			Base:    configured.Source.Machines,
			Node:    configured.Name,
			Timeout: configured.Source.Timeout.Duration,
		}
	}
	return d
}

// setDuty reports a change of reader duty to the reader. Only the control loop calls it.
func (d *dutyReader) setDuty(reader bool) {
	for {
		select {
		case d.dutyChanges <- reader:
			return
		default:
		}
		select { // the queue is full: discard the oldest change, which this one supersedes
		case <-d.dutyChanges:
		default:
		}
	}
}

// run reads the configuration and the machine list until ctx ends.
func (d *dutyReader) run(ctx context.Context) error {
	d.reader.Emit = func(result source.Result) { d.handleResult(ctx, result) }
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		d.reader.Run(ctx, d.dutyChanges)
		return nil
	})
	if d.machines != nil {
		group.Go(func() error {
			d.pollMachines(ctx)
			return nil
		})
	}
	return group.Wait()
}

// handleResult builds a set of resources from what was read and passes it to the control loop.
func (d *dutyReader) handleResult(ctx context.Context, result source.Result) {
	if result.Err != nil {
		d.loop.SourceFailed(ctx, result.Err)
		return
	}
	set, err := snapshot.Build(result.Document, result.Revision, result.Secrets)
	if err != nil {
		d.loop.SourceFailed(ctx, fault.Wrap(err, fault.Source, "correct the declarations at the source", "revision %d is not usable", result.Revision))
		return
	}
	d.loop.SourceRead(ctx, set)
}

// pollMachines reads the machine list at jittered intervals while this node has reader duty or
// has discovered no other node. A failed read needs no handling: the list only proposes
// members, and the failure detector has the final say.
func (d *dutyReader) pollMachines(ctx context.Context) {
	due := func() (bool, time.Duration) {
		status := d.loop.Status(ctx)
		if len(status.Members) <= 1 {
			return true, isolatedInterval
		}
		return status.Distribution.Reader, d.interval
	}
	d.machines.Poll(ctx, due, newRandom(), d.logger, func(listed []source.Machine) {
		d.loop.MachinesRead(ctx, listedMachines(listed))
	})
}

// listedMachines converts the machine list to the types of membership.
func listedMachines(listed []source.Machine) []membership.ListedMachine {
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
