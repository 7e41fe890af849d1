package workerlimit

import (
	"strconv"
	"strings"

	"sliphead/internal/fault"
)

// Rate is a number of requests per second from all nodes together.
type Rate float64

// Advertised is the limit that one response of a worker advertises.
type Advertised struct {
	Limited bool // whether there is a limit
	Rate    Rate
}

// lowerThan reports whether a value allows less than another one.
func (t Advertised) lowerThan(other Advertised) bool {
	return t.Limited && (!other.Limited || t.Rate < other.Rate)
}

// maxDigits bounds the length of a limit's text; workers need no longer ones.
const maxDigits = 20

// Parse reads the values of the header in which a worker advertises its limit: one
// non-negative decimal number, such as 7.5. No value means no limit. Other values give an
// error of kind fault.Worker and must not change the limit.
func Parse(values []string) (Advertised, error) {
	const remedy = "make the worker send its limit once per response, as a decimal number of requests per second such as 7.5"
	if len(values) == 0 {
		return Advertised{}, nil
	}
	text := strings.TrimSpace(values[0])
	if len(values) > 1 || !isDecimal(text) {
		const shown = 40 // bytes of the value in the error message
		return Advertised{}, fault.New(fault.Worker, remedy, "invalid worker limit %.*q in %d header values", shown, text, len(values))
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return Advertised{}, fault.Wrap(err, fault.Worker, remedy, "invalid worker limit %q", text)
	}
	return Advertised{Limited: true, Rate: Rate(rate)}, nil
}

// isDecimal reports whether a text consists of digits and at most one decimal point.
func isDecimal(text string) bool {
	if len(text) > maxDigits {
		return false
	}
	digits, points := 0, 0
	for index := range len(text) {
		switch character := text[index]; {
		case character >= '0' && character <= '9':
			digits++
		case character == '.':
			points++
		default:
			return false
		}
	}
	return digits > 0 && points <= 1
}

// String formats the rate as workers do in the header.
func (r Rate) String() string { return strconv.FormatFloat(float64(r), 'f', -1, 64) }
