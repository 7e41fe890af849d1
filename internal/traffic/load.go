package traffic

import (
	"strconv"
	"strings"
	"time"

	"sliphead/internal/traffic/balance"
)

// A load is told as "busy/slots/queued", with "/wait/run", "/wait/run/link" or
// "/wait/run/link/closed" in milliseconds behind it where they are known.

const loadSeparator = "/"

func encodeLoad(load balance.Load) string {
	parts := []string{strconv.Itoa(load.Busy), strconv.Itoa(load.Slots), strconv.Itoa(load.Queued)}
	if load.Wait > 0 || load.Run > 0 || load.Link > 0 || load.Closed > 0 {
		parts = append(parts, inMilliseconds(load.Wait), inMilliseconds(load.Run))
	}
	if load.Link > 0 || load.Closed > 0 {
		parts = append(parts, inMilliseconds(load.Link))
	}
	if load.Closed > 0 {
		parts = append(parts, inMilliseconds(load.Closed))
	}
	return strings.Join(parts, loadSeparator)
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
	link, closed, _ := strings.Cut(rest, loadSeparator)
	load := balance.Load{Wait: milliseconds(wait), Run: milliseconds(run), Link: milliseconds(link), Closed: milliseconds(closed)}
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
