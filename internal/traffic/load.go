package traffic

import (
	"strconv"
	"strings"
	"time"

	"sliphead/internal/traffic/balance"
)

// A load is told as "busy/slots/queued", with "/wait/run", "/wait/run/link" or
// "/wait/run/link/closed" in milliseconds behind it where they are known, and after these
// "/rejects" in percent.

const loadSeparator = "/"

func encodeLoad(load balance.Load) string {
	parts := []string{
		strconv.Itoa(load.Busy), strconv.Itoa(load.Slots), strconv.Itoa(load.Queued),
		inMilliseconds(load.Wait), inMilliseconds(load.Run), inMilliseconds(load.Link), inMilliseconds(load.Closed), inPercent(load.Rejects),
	}
	return strings.Join(parts[:toldParts(load)], loadSeparator)
}

// toldParts is how many parts of a load are told: up to the last that is known.
func toldParts(load balance.Load) int {
	const counts, forecast, link, closed, rejects = 3, 5, 6, 7, 8
	switch {
	case load.Rejects > 0:
		return rejects
	case load.Closed > 0:
		return closed
	case load.Link > 0:
		return link
	case load.Wait > 0 || load.Run > 0:
		return forecast
	default:
		return counts
	}
}

// percent is how many parts of a hundredth a share is told in.
const percent = 100

func inPercent(share float64) string { return strconv.Itoa(int(share*percent + 0.5)) }

// shareOf reads a count of hundredths, 0 when it is none between nothing and the whole.
func shareOf(text string) float64 {
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 || count > percent {
		return 0
	}
	return float64(count) / percent
}

func inMilliseconds(duration time.Duration) string {
	return strconv.FormatInt(duration.Milliseconds(), 10)
}

// parseLoad reads what encodeLoad wrote, false if it can't be.
func parseLoad(text string) (balance.Load, bool) {
	busy, rest, _ := strings.Cut(text, loadSeparator)
	slots, rest, found := strings.Cut(rest, loadSeparator)
	queued, forecast, _ := strings.Cut(rest, loadSeparator)
	wait, rest, _ := strings.Cut(forecast, loadSeparator)
	run, rest, _ := strings.Cut(rest, loadSeparator)
	link, rest, _ := strings.Cut(rest, loadSeparator)
	closed, rejects, _ := strings.Cut(rest, loadSeparator)
	load := balance.Load{Wait: milliseconds(wait), Run: milliseconds(run), Link: milliseconds(link), Closed: milliseconds(closed), Rejects: shareOf(rejects)}
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

// milliseconds reads a count of them, 0 when it is none.
func milliseconds(text string) time.Duration {
	count, _ := strconv.ParseInt(text, 10, 64)
	return time.Duration(count) * time.Millisecond
}
