package worker

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Fault is a kind of failure that a worker simulates.
type Fault string

// The faults of a worker.
const (
	FaultNone  Fault = ""
	FaultLie   Fault = "lie"   // health reports ready and idle, but requests are shed
	FaultHang  Fault = "hang"  // requests run, but get no response
	FaultReset Fault = "reset" // requests run, then the connection is closed without a response
	FaultHalf  Fault = "half"  // requests run, then the connection is closed after half of the response body
	FaultSlow  Fault = "slow"  // requests run ten times as long
	FaultError Fault = "error" // requests run, then get status 500
	FaultFlap  Fault = "flap"  // sheds requests in every second flapPeriod
)

// slowFactor multiplies the run time of requests under FaultSlow.
const slowFactor = 10

// flapPeriod is the time that a worker under FaultFlap stays in each of its two states.
const flapPeriod = time.Second

// Valid reports whether f is one of the faults above.
func (f Fault) Valid() bool {
	switch f {
	case FaultNone, FaultLie, FaultHang, FaultReset, FaultHalf, FaultSlow, FaultError, FaultFlap:
		return true
	}
	return false
}

// faultSwitch holds the current fault for concurrent use.
type faultSwitch struct{ value atomic.Value }

func (f *faultSwitch) set(fault Fault) { f.value.Store(fault) }

func (f *faultSwitch) get() Fault {
	fault, _ := f.value.Load().(Fault)
	return fault
}

// sheds reports whether requests are shed at a given time.
func (f Fault) sheds(now time.Time) bool {
	switch f {
	case FaultLie:
		return true
	case FaultFlap:
		return now.Unix()/int64(flapPeriod/time.Second)%2 == 1
	}
	return false
}

// respond sends the response body, or fails in the way of the fault.
func (f Fault) respond(writer http.ResponseWriter, request *http.Request, body []byte) {
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
