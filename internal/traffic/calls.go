package traffic

import "sync"

// Calls joins the two handlers of one node. The outbound handler notes here
// that a call made for an inbound request has failed for good; when the worker
// then fails the inbound request, the failure is marked as final, so that only
// the level nearest to the failure retries and retries do not multiply along
// the call tree.
type Calls struct {
	mutex   sync.Mutex
	running map[string]*callState
}

type callState struct {
	users  int
	failed bool
}

// NewCalls returns an empty record.
func NewCalls() *Calls { return &Calls{running: map[string]*callState{}} }

// begin notes that an inbound request runs at the worker.
func (c *Calls) begin(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.running[id]
	if state == nil {
		state = &callState{}
		c.running[id] = state
	}
	state.users++
}

// end reports whether a call made for the request had failed.
func (c *Calls) end(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.running[id]
	if state == nil {
		return false
	}
	state.users--
	if state.users == 0 {
		delete(c.running, id)
	}
	return state.failed
}

// fail notes that a call made for the request has failed for good.
func (c *Calls) fail(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state := c.running[id]; state != nil {
		state.failed = true
	}
}
