package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/shoenig/test/must"
)

const mesh = "../../../experiments/declarations/tan-seng-huat"

func TestExplainPrintsReasons(t *testing.T) {
	var command Command
	parser, err := kong.New(&command)
	must.NoError(t, err)
	_, err = parser.Parse([]string{"--declarations", mesh, "--route", "view", "--zone", "petaling", "--at", "2026-12-05T23:30:00+08:00"})
	must.NoError(t, err)
	var output strings.Builder
	must.NoError(t, command.Run(&output))
	must.Eq(t, `route view of service bookings at 2026-12-05T23:30:00+08:00
bookings-2 in petaling: not selected
  bookings-always: worker label shift is day, wanted is always
  bookings-shops: no window is open; the next opens Sun 2026-12-06 08:00 +08
  bookings-closing-time: worker label shift is day, wanted is evening
  bookings-night: worker label shift is day, wanted is night
bookings-6 in petaling: selected
  bookings-always: worker label shift is night, wanted is always
  bookings-shops: worker label shift is night, wanted is day; no window is open; the next opens Sun 2026-12-06 08:00 +08
  bookings-closing-time: worker label shift is night, wanted is evening
  bookings-night: selects it
`, output.String())
}

func TestUnknownRouteOrZoneFails(t *testing.T) {
	cases := map[string]Command{
		`no route "reviews" is declared (remedy: give the name of a route under routes)`: {Declarations: mesh, Route: "reviews", At: time.Unix(0, 0)},
		`no zone "kochi" is declared (remedy: give the name of a zone under zones)`:      {Declarations: mesh, Route: "view", Zone: "kochi", At: time.Unix(0, 0)},
	}
	for want, command := range cases {
		must.ErrorContains(t, command.Run(&strings.Builder{}), want)
	}
}
