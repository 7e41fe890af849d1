package traffic

import "sync"

// Calls is shared by the inbound and outbound handlers of one node. The outbound handler
// records that a call made for an inbound request has failed permanently. If the worker then
// fails the inbound request, that failure is marked as final, so that only the level nearest
// to the failure retries and retries do not multiply along the call tree. It is safe for
// concurrent use.
type Calls struct {
	mutex   sync.Mutex
	running map[string]*callState
}

type callState struct {
	references int
	failed     bool
}

// NewCalls returns a Calls without any running request.
func NewCalls() *Calls { return &Calls{running: map[string]*callState{}} }

// begin records that an inbound request runs at the worker.
func (c *Calls) begin(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.running[id]
	if state == nil {
		state = &callState{}
		c.running[id] = state
	}
	state.references++
}

// end records that the request has completed and reports whether a call made for it failed.
func (c *Calls) end(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.running[id]
	if state == nil {
		return false
	}
	state.references--
	if state.references == 0 {
		delete(c.running, id)
	}
	return state.failed
}

// fail records that a call made for the request has failed permanently.
func (c *Calls) fail(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state := c.running[id]; state != nil {
		state.failed = true
	}
}
