package worker

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Fault is a way in which a worker misbehaves.
type Fault string

// The ways in which a worker misbehaves.
const (
	FaultNone  Fault = ""
	FaultLie   Fault = "lie"   // health says ready and idle, requests are shed
	FaultHang  Fault = "hang"  // requests run and never answer
	FaultReset Fault = "reset" // requests run, then the connection is cut without an answer
	FaultHalf  Fault = "half"  // requests run, then half of the answer is sent and the connection cut
	FaultSlow  Fault = "slow"  // requests run ten times as long
	FaultError Fault = "error" // requests run, then status 500
	FaultFlap  Fault = "flap"  // sheds every second second
)

// slowFactor is how much longer a request runs under FaultSlow.
const slowFactor = 10

// flapPeriod is how long a flapping worker stays in each state.
const flapPeriod = time.Second

// Valid reports whether the fault is known.
func (f Fault) Valid() bool {
	switch f {
	case FaultNone, FaultLie, FaultHang, FaultReset, FaultHalf, FaultSlow, FaultError, FaultFlap:
		return true
	}
	return false
}

// faultSwitch holds the current fault.
type faultSwitch struct{ value atomic.Value }

func (f *faultSwitch) set(fault Fault) { f.value.Store(fault) }

func (f *faultSwitch) get() Fault {
	fault, _ := f.value.Load().(Fault)
	return fault
}

// sheds reports whether a request is refused before it runs.
func (f Fault) sheds(now time.Time) bool {
	switch f {
	case FaultLie:
		return true
	case FaultFlap:
		return now.Unix()/int64(flapPeriod/time.Second)%2 == 1
	}
	return false
}

// answer sends the body in the way of the fault.
func (f Fault) answer(writer http.ResponseWriter, request *http.Request, body []byte) {
	switch f {
	case FaultHang:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultHalf:
		_, _ = writer.Write(body[:len(body)/2])
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	case FaultError:
		writer.Header().Del("Content-Length")
		http.Error(writer, "the worker failed after it ran the request", http.StatusInternalServerError)
	default:
		_, _ = writer.Write(body)
	}
}
