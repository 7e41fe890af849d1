package traffic

import (
	"strconv"
	"strings"
	"time"

	"sliphead/internal/traffic/balance"
)

// A load is encoded as "busy/slots/queued", followed where available by "/wait/run",
// "/wait/run/link" or "/wait/run/link/paused" in milliseconds, and after these by "/rejects"
// in percent.

const loadSeparator = "/"

func encodeLoad(load balance.Load) string {
	parts := []string{
		strconv.Itoa(load.Busy), strconv.Itoa(load.Slots), strconv.Itoa(load.Queued),
		formatMilliseconds(load.Wait), formatMilliseconds(load.Run), formatMilliseconds(load.Link), formatMilliseconds(load.PausedFor), formatPercent(load.RejectShare),
	}
	return strings.Join(parts[:encodedParts(load)], loadSeparator)
}

// encodedParts returns how many parts of a load are encoded: up to the last one that is not
// zero.
func encodedParts(load balance.Load) int {
	const counts, forecast, link, paused, rejects = 3, 5, 6, 7, 8
	switch {
	case load.RejectShare > 0:
		return rejects
	case load.PausedFor > 0:
		return paused
	case load.Link > 0:
		return link
	case load.Wait > 0 || load.Run > 0:
		return forecast
	default:
		return counts
	}
}

// percent converts a share, from 0 to 1, to percent.
const percent = 100

func formatPercent(share float64) string { return strconv.Itoa(int(share*percent + 0.5)) }

// parsePercent returns the share encoded as percent, or 0 if the text is not a number from 0
// to 100.
func parsePercent(text string) float64 {
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 || count > percent {
		return 0
	}
	return float64(count) / percent
}

func formatMilliseconds(duration time.Duration) string {
	return strconv.FormatInt(duration.Milliseconds(), 10)
}

// parseLoad decodes the output of encodeLoad. It returns false if the text is invalid.
func parseLoad(text string) (balance.Load, bool) {
	busy, rest, _ := strings.Cut(text, loadSeparator)
	slots, rest, found := strings.Cut(rest, loadSeparator)
	queued, forecast, _ := strings.Cut(rest, loadSeparator)
	wait, rest, _ := strings.Cut(forecast, loadSeparator)
	run, rest, _ := strings.Cut(rest, loadSeparator)
	link, rest, _ := strings.Cut(rest, loadSeparator)
	paused, rejects, _ := strings.Cut(rest, loadSeparator)
	load := balance.Load{Wait: parseMilliseconds(wait), Run: parseMilliseconds(run), Link: parseMilliseconds(link), PausedFor: parseMilliseconds(paused), RejectShare: parsePercent(rejects)}
	var err error
	if load.Busy, err = strconv.Atoi(busy); err != nil || !found {
		return balance.Load{}, false
	}
	if load.Slots, err = strconv.Atoi(slots); err != nil {
		return balance.Load{}, false
	}
	if load.Queued, err = strconv.Atoi(queued); err != nil {
		return balance.Load{}, false
	}
	return load, true
}

// parseMilliseconds parses a number of milliseconds, or returns 0 if the text is not a number.
func parseMilliseconds(text string) time.Duration {
	count, _ := strconv.ParseInt(text, 10, 64)
	return time.Duration(count) * time.Millisecond
}
