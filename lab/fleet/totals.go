package fleet

import (
	"runtime"
	"syscall"
	"time"

	"sliphead/internal/transport"
)

// totals are what the whole process has spent so far.
type totals struct {
	at        time.Time
	processor time.Duration // user and system time, the lab's own included
	bytes     uint64        // control bytes sent by all nodes
	streams   uint64        // control bytes sent by stream
	messages  uint64
}

// measure reads the totals.
func (f *Fleet) measure() totals {
	counters := f.counters()
	return totals{
		at:        time.Now(),
		processor: processorTime(),
		bytes:     counters.Bytes(),
		streams:   counters.StreamBytesSent,
		messages:  counters.MessagesSent,
	}
}

// processorTime returns what this process has used of the processors.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the bytes that the process holds in heap and stacks after a
// collection.
func memory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// rates are a span's costs per node.
type rates struct {
	BytesPerSecond    float64 // sent, per node
	MessagesPerSecond float64 // sent, per node
	ProcessorPercent  float64 // of one core, per node
}

// since returns the costs per node since earlier totals.
func (t totals) since(earlier totals, nodes int) rates {
	seconds := t.at.Sub(earlier.at).Seconds()
	each := 1 / (seconds * float64(nodes))
	const percent = 100
	return rates{
		BytesPerSecond:    float64(t.bytes-earlier.bytes) * each,
		MessagesPerSecond: float64(t.messages-earlier.messages) * each,
		ProcessorPercent:  (t.processor - earlier.processor).Seconds() * each * percent,
	}
}

// plus adds up counters that only grow; what is open now is left out.
func plus(a, b transport.Counters) transport.Counters {
	a.StreamBytesSent += b.StreamBytesSent
	a.StreamBytesReceived += b.StreamBytesReceived
	a.DatagramBytesSent += b.DatagramBytesSent
	a.DatagramBytesReceived += b.DatagramBytesReceived
	a.MessagesSent += b.MessagesSent
	a.StreamsOpened += b.StreamsOpened
	a.StreamsRefused += b.StreamsRefused
	a.Dropped += b.Dropped
	return a
}
