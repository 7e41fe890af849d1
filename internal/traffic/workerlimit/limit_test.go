package workerlimit

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func limitedTo(rate Rate) Advertised { return Advertised{Limited: true, Rate: rate} }

// A limit is one non-negative decimal number; all other texts are errors without a limit.
func TestParse(t *testing.T) {
	for text, wanted := range map[string]Rate{"0": 0, "7.5": 7.5, " 20 ": 20, "0.3": 0.3, ".5": 0.5, "300.": 300} {
		value, err := Parse([]string{text})
		must.NoError(t, err, must.Sprint(text))
		must.Eq(t, limitedTo(wanted), value)
	}
	value, err := Parse(nil)
	must.NoError(t, err)
	must.False(t, value.Limited)
	for _, text := range []string{"", " ", ".", "-1", "+1", "NaN", "Inf", "infinity", "7,5", "1e3", "0x10", "1_0", "7 5", "1.2.3", "٧", strings.Repeat("9", 400)} {
		_, err := Parse([]string{text})
		must.Error(t, err, must.Sprint(text))
	}
	_, err = Parse([]string{"7", "7"})
	must.Error(t, err)
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"7.5", "0", "-3", "NaN", "1e400", "7,5", "..", "0000000000000000000001"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		value, err := Parse([]string{text})
		rate := float64(value.Rate)
		if err == nil && (!value.Limited || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0) {
			t.Fatalf("%q was parsed as %v", text, value)
		}
		if err != nil && value != (Advertised{}) {
			t.Fatalf("%q is invalid, but was parsed as %v", text, value)
		}
	})
}

// The response to a request that was sent before a limit was received does not lift or
// raise that limit, whenever it arrives. The response to a later request does.
func TestEarlierRequestsDoNotLiftLimit(t *testing.T) {
	var limit Limit
	must.True(t, limit.Record(limitedTo(5), at(0), at(100)))
	must.False(t, limit.Record(Advertised{}, at(50), at(200)))
	must.False(t, limit.Record(limitedTo(20), at(99), at(110)))
	must.Eq(t, limitedTo(5), limit.Current())
	must.True(t, limit.Record(limitedTo(20), at(201), at(220)))
	must.True(t, limit.Record(limitedTo(5), at(10), at(230))) // a lower limit applies at once
	must.Eq(t, at(100), limit.Since())
	must.True(t, limit.Record(Advertised{}, at(231), at(300)))
	must.True(t, limit.Since().IsZero())
}

// A limit from another node is adopted only by a node that has received no response from
// the worker itself.
func TestAdoptOnlyWithoutOwnResponse(t *testing.T) {
	var limit Limit
	must.False(t, limit.Adopt(Advertised{}, at(0)))
	must.True(t, limit.Adopt(limitedTo(3), at(1)))
	must.False(t, limit.Adopt(limitedTo(9), at(2)))
	must.True(t, limit.Record(Advertised{}, at(3), at(4)))
	must.False(t, limit.Adopt(limitedTo(3), at(5)))
}

// period is a time for which the worker of TestLimitFromResponsesOutOfOrder advertises the
// same value.
type period struct {
	value Advertised
	ends  int // milliseconds
}

// For random limits and orders of responses, a limit stays in force until a response
// arrives to a request that was sent after it was received. Once the worker has advertised
// the same value for the duration of two requests, that value is in force.
func TestLimitFromResponsesOutOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxRun = 300
		periods, end := drawPeriods(t)
		advertised := func(millisecond int) Advertised {
			for _, each := range periods {
				if millisecond < each.ends {
					return each.value
				}
			}
			return periods[len(periods)-1].value
		}
		arrivals := drawResponses(t, end, maxRun)
		var limit Limit
		var history []received
		for now := range end {
			for _, reply := range arrivals[now] {
				value := advertised(reply.written)
				limit.Record(value, at(reply.sent), at(now))
				history = append(withoutOutdated(history, reply.sent), received{value, now})
			}
			for _, each := range history {
				if inForce := limit.Current(); each.value.Limited && (!inForce.Limited || inForce.Rate > each.value.Rate) {
					t.Fatalf("at %d ms %v is in force although %v was received at %d ms, without a response since to a later request", now, inForce, each.value, each.at)
				}
			}
			settled := now >= 2*maxRun && steady(advertised, now-2*maxRun, now)
			if settled && hasLaterResponse(arrivals, now-2*maxRun, now) && limit.Current() != advertised(now) {
				t.Fatalf("at %d ms %v is in force, but the worker advertises %v", now, limit.Current(), advertised(now))
			}
		}
	})
}

func drawPeriods(t *rapid.T) (periods []period, end int) {
	for range rapid.IntRange(1, 5).Draw(t, "periods") {
		end += rapid.IntRange(100, 2000).Draw(t, "length")
		value := Advertised{Limited: rapid.Bool().Draw(t, "named")}
		if value.Limited {
			value.Rate = Rate(rapid.IntRange(0, 20).Draw(t, "rate"))
		}
		periods = append(periods, period{value, end})
	}
	return periods, end
}

// response holds the times at which a request was sent and the head of its response
// written.
type response struct{ sent, written int }

// drawResponses returns responses by the millisecond of their arrival.
func drawResponses(t *rapid.T, end, maxRun int) [][]response {
	arrivals := make([][]response, end)
	gap := rapid.IntRange(1, 40).Draw(t, "gap")
	for sent := 0; sent < end; sent += gap {
		head := sent + rapid.IntRange(0, maxRun-1).Draw(t, "run")
		arrives := rapid.IntRange(head, sent+maxRun-1).Draw(t, "arrives")
		if arrives < end {
			arrivals[arrives] = append(arrivals[arrives], response{sent, head})
		}
	}
	return arrivals
}

// received is an advertised value and the millisecond at which it was received.
type received struct {
	value Advertised
	at    int
}

// withoutOutdated drops the values received before a request was sent that has been
// responded to.
func withoutOutdated(history []received, sent int) []received {
	return slices.DeleteFunc(history, func(each received) bool { return each.at < sent })
}

// steady reports whether the worker advertised the same value in the whole interval.
func steady(advertised func(int) Advertised, from, to int) bool {
	for millisecond := from; millisecond <= to; millisecond++ {
		if advertised(millisecond) != advertised(to) {
			return false
		}
	}
	return true
}

// hasLaterResponse reports whether, within the interval, a response arrived to a request
// that was sent after all responses written before the interval had arrived.
func hasLaterResponse(arrivals [][]response, from, to int) bool {
	const maxRun = 300
	for millisecond := from + maxRun; millisecond <= to; millisecond++ {
		for _, reply := range arrivals[millisecond] {
			if reply.sent >= from+maxRun {
				return true
			}
		}
	}
	return false
}

func TestSentCountsWithinWindow(t *testing.T) {
	var sent Sent
	for second := range 20 {
		sent.Add(start.Add(time.Duration(second) * time.Second))
	}
	must.Eq(t, 4, sent.Count(start.Add(19*time.Second)), must.Sprint(fmt.Sprint(sent)))
	must.Eq(t, 0, sent.Count(start.Add(time.Hour)))
}
