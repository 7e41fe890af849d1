package replicator

import "context"

// Status is what the replicator tells operators.
type Status struct {
	Revision  uint64  `json:"revision"`
	Version   uint64  `json:"version"` // of the configuration in force
	AgeS      float64 `json:"ageSeconds"`
	Reader    bool    `json:"reader"`
	Following string  `json:"following,omitempty"`
	Followers int     `json:"followers"`
	Instances int     `json:"instances"`
	Answered  uint64  `json:"storeAnswers"`  // questions to the store that were answered
	Failed    uint64  `json:"storeFailures"` // and that were not
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
		Revision:  r.machine.State().Revision(),
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
