package replicator

import "context"

// Status is what the replicator tells operators.
type Status struct {
	Era       uint64  `json:"era"` // how often the store has come back from a copy, as it counts; 0: not told
	Revision  uint64  `json:"revision"`
	Version   uint64  `json:"version"` // of the configuration in force
	AgeS      float64 `json:"ageSeconds"`
	Reader    bool    `json:"reader"`
	Following string  `json:"following,omitempty"`
	Followers int     `json:"followers"`
	Instances int     `json:"instances"`
	Doubted   int     `json:"doubted,omitempty"` // records and orders of a copy of the store that are not followed yet
	Answered  uint64  `json:"storeAnswers"`      // questions to the store that were answered
	Failed    uint64  `json:"storeFailures"`     // and that were not
}

type statusRequest struct{ reply chan Status }

// Status returns the state of now, the zero Status when ctx ends before.
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
		Era:       r.machine.State().Point().Era,
		Revision:  r.machine.State().Revision(),
		Doubted:   r.machine.State().Doubted(),
		AgeS:      age.Seconds(),
		Reader:    r.machine.Reader(now),
		Following: r.machine.Following(),
		Followers: len(r.followers),
		Answered:  r.answered,
		Failed:    r.failed,
		Instances: len(r.machine.State().Instances()),
	}
	if configuration := r.machine.State().Configuration(); configuration != nil {
		status.Version = configuration.Version
	}
	return status
}
