package replicator

import "context"

// Status is the replication state reported to operators.
type Status struct {
	Era        uint64  `json:"era"` // incremented each time the store is restored from a backup; 0: unknown
	Revision   uint64  `json:"revision"`
	Version    uint64  `json:"version"` // of the configuration in force
	AgeSeconds float64 `json:"ageSeconds"`
	Reader     bool    `json:"reader"`
	Following  string  `json:"following,omitempty"`
	Followers  int     `json:"followers"`
	Instances  int     `json:"instances"`
	Doubted    int     `json:"doubted,omitempty"` // records and evacuation orders of a restored backup that are not applied yet
	Answered   uint64  `json:"storeAnswers"`      // store calls that succeeded
	Failed     uint64  `json:"storeFailures"`     // store calls that failed
}

type statusRequest struct{ reply chan Status }

// Status returns the current state, or the zero Status if ctx ends first. It is safe for
// concurrent use.
func (r *Replicator) Status(ctx context.Context) Status {
	request := statusRequest{reply: make(chan Status, 1)}
	r.submit(ctx, request)
	select {
	case status := <-request.reply:
		return status
	case <-ctx.Done():
		return Status{}
	}
}

func (r *Replicator) status() Status {
	now := r.config.Now()
	age, _ := r.machine.Age(now)
	status := Status{
		Era:        r.machine.State().Point().Era,
		Revision:   r.machine.State().Revision(),
		Doubted:    r.machine.State().Doubted(),
		AgeSeconds: age.Seconds(),
		Reader:     r.machine.Reader(now),
		Following:  r.machine.Following(),
		Followers:  len(r.followers),
		Answered:   r.succeeded,
		Failed:     r.failed,
		Instances:  len(r.machine.State().Instances()),
	}
	if configuration := r.machine.State().Configuration(); configuration != nil {
		status.Version = configuration.Version
	}
	return status
}
