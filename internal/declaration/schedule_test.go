package declaration

import (
	"archive/zip"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests and replaces the host's time zone
// database by one that differs from the embedded one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	directory, err := os.MkdirTemp("", "zoneinfo")
	if err != nil {
		panic(err)
	}
	writeHostDatabase(directory)
	os.Setenv("ZONEINFO", directory)
	code := m.Run()
	os.RemoveAll(directory)
	os.Exit(code)
}

// writeHostDatabase writes a time zone database in which Asia/Kolkata is UTC, and
// which contains a zone that the embedded one lacks.
func writeHostDatabase(directory string) {
	reader, err := zip.OpenReader("zoneinfo.zip")
	if err != nil {
		panic(err)
	}
	defer reader.Close()
	index := slices.IndexFunc(reader.File, func(file *zip.File) bool { return file.Name == "UTC" })
	data, err := readAll(reader.File[index])
	if err != nil {
		panic(err)
	}
	for _, name := range []string{"Asia/Kolkata", "Test/OnlyHere"} {
		path := filepath.Join(directory, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			panic(err)
		}
		if err := os.WriteFile(path, data, 0o644); err != nil {
			panic(err)
		}
	}
}

func TestLoadLocationUsesEmbeddedDatabase(t *testing.T) {
	host, err := time.LoadLocation("Asia/Kolkata")
	must.NoError(t, err)
	_, offset := time.Unix(0, 0).In(host).Zone()
	must.Zero(t, offset) // confirms that the host's database is the one written by TestMain

	embedded, err := LoadLocation("Asia/Kolkata")
	must.NoError(t, err)
	_, offset = time.Unix(0, 0).In(embedded).Zone()
	must.Eq(t, 19_800, offset)
	for _, name := range []string{"Test/OnlyHere", "Local", "", "asia/kolkata", "../zoneinfo", "Asia/"} {
		_, err = LoadLocation(name)
		must.ErrorContains(t, err, "remedy: use an IANA name")
	}
}

func TestOpenFollowsLocalWallClock(t *testing.T) {
	night := Window{Days: []string{"fri"}, From: "22:00", To: "02:00"}
	gap := Window{From: "01:15", To: "01:45"}
	morning := Window{From: "01:30", To: "03:00"}
	wholeDay := Window{Days: []string{"sat"}, From: "00:00", To: "24:00"}
	cases := map[string]struct {
		window Window
		zone   string
		at     string
		open   bool
	}{
		"first minute":              {night, "Asia/Kolkata", "2026-12-04T22:00:00+05:30", true},
		"before it":                 {night, "Asia/Kolkata", "2026-12-04T21:59:59+05:30", false},
		"after midnight":            {night, "Asia/Kolkata", "2026-12-05T01:59:59+05:30", true},
		"end":                       {night, "Asia/Kolkata", "2026-12-05T02:00:00+05:30", false},
		"day before is not listed":  {night, "Asia/Kolkata", "2026-12-04T01:00:00+05:30", false},
		"next night is not listed":  {night, "Asia/Kolkata", "2026-12-05T22:00:00+05:30", false},
		"zone of the worker":        {night, "Asia/Kuala_Lumpur", "2026-12-04T19:30:00+05:30", true},
		"zone of the window first":  {Window{From: "09:00", To: "10:00", TimeZone: "Asia/Kolkata"}, "Asia/Kuala_Lumpur", "2026-12-04T09:30:00+05:30", true},
		"last minute of a day":      {wholeDay, "Asia/Kolkata", "2026-12-05T23:59:59+05:30", true},
		"next day":                  {wholeDay, "Asia/Kolkata", "2026-12-06T00:00:00+05:30", false},
		"within skipped, before":    {gap, "Europe/London", "2026-03-29T00:59:59Z", false},
		"within skipped, after":     {gap, "Europe/London", "2026-03-29T01:00:00Z", false},
		"starts in skipped, before": {morning, "Europe/London", "2026-03-29T00:59:59Z", false},
		"starts in skipped, at":     {morning, "Europe/London", "2026-03-29T01:00:00Z", true},
		"shown twice, first":        {gap, "Europe/London", "2026-10-25T00:30:00Z", true},
		"shown twice, between":      {gap, "Europe/London", "2026-10-25T00:50:00Z", false},
		"shown twice, second":       {gap, "Europe/London", "2026-10-25T01:30:00Z", true},
		"malformed":                 {Window{From: "9:00", To: "10:00"}, "Asia/Kolkata", "2026-12-04T09:30:00+05:30", false},
		"malformed day":             {Window{Days: []string{"Mon"}, From: "09:00", To: "10:00"}, "Asia/Kolkata", "2026-12-07T09:30:00+05:30", false},
		"unknown zone":              {gap, "Kochi", "2026-12-07T01:30:00+05:30", false},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			at, err := time.Parse(time.RFC3339, each.at)
			must.NoError(t, err)
			must.Eq(t, each.open, Open(each.window, at, each.zone))
		})
	}
}

var zoneNames = []string{"Asia/Kolkata", "Asia/Kuala_Lumpur", "Europe/London", "America/New_York", "Australia/Lord_Howe"}

// drawWindow draws a window. About half of its times lie between 00:00 and 04:00,
// where daylight saving time changes.
func drawWindow(t *rapid.T) Window {
	minute := rapid.OneOf(rapid.IntRange(0, 4*60), rapid.IntRange(0, minutesPerDay-1))
	clock := func(minute int) string { return time.Time{}.Add(time.Duration(minute) * time.Minute).Format("15:04") }
	from := minute.Draw(t, "from")
	to := minute.Filter(func(to int) bool { return to != from }).Draw(t, "to")
	days := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"}), 0, 7, rapid.ID).Draw(t, "days")
	return Window{Days: days, From: clock(from), To: clock(to)}
}

// drawStart draws a moment within the two days before a daylight saving time change
// in one of the zones.
func drawStart(t *rapid.T) time.Time {
	changes := []string{"2026-03-08T07:00:00Z", "2026-03-29T01:00:00Z", "2026-04-04T15:00:00Z", "2026-10-03T15:30:00Z", "2026-10-25T01:00:00Z", "2026-11-01T06:00:00Z"}
	change, err := time.Parse(time.RFC3339, rapid.SampledFrom(changes).Draw(t, "change"))
	must.NoError(t, err)
	return change.Add(-time.Duration(rapid.IntRange(0, 2*minutesPerDay).Draw(t, "minutes before")) * time.Minute)
}

// oracleOpen is a reference implementation of Open. It represents the wall clock
// time and the windows of the current and previous day in UTC and compares them.
func oracleOpen(window Window, at time.Time, location *time.Location) bool {
	year, month, date := at.In(location).Date()
	shown := time.Date(year, month, date, at.In(location).Hour(), at.In(location).Minute(), 0, 0, time.UTC)
	for _, daysAgo := range []int{0, 1} {
		midnight := time.Date(year, month, date-daysAgo, 0, 0, 0, 0, time.UTC)
		name := map[time.Weekday]string{0: "sun", 1: "mon", 2: "tue", 3: "wed", 4: "thu", 5: "fri", 6: "sat"}[midnight.Weekday()]
		if len(window.Days) > 0 && !slices.Contains(window.Days, name) {
			continue
		}
		from, _ := time.Parse("15:04", window.From)
		to, _ := time.Parse("15:04", window.To)
		start := midnight.Add(time.Duration(from.Hour())*time.Hour + time.Duration(from.Minute())*time.Minute)
		end := midnight.Add(time.Duration(to.Hour())*time.Hour + time.Duration(to.Minute())*time.Minute)
		if !end.After(start) {
			end = end.Add(24 * time.Hour)
		}
		if !shown.Before(start) && shown.Before(end) {
			return true
		}
	}
	return false
}

// Compares Open and Boundaries with oracleOpen at each minute of three days.
func TestOpenAndBoundariesMatchOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := drawWindow(t)
		zone := rapid.SampledFrom(zoneNames).Draw(t, "zone")
		location, err := LoadLocation(zone)
		must.NoError(t, err)
		schedule, err := NewSchedule(window, zone)
		must.NoError(t, err)
		start := drawStart(t)
		end := start.Add(72 * time.Hour)
		var changes []time.Time
		wasOpen := oracleOpen(window, start, location)
		for at := start; !at.After(end); at = at.Add(time.Minute) {
			open := oracleOpen(window, at, location)
			if schedule.Open(at) != open {
				t.Fatalf("at %s: want open %t", at, open)
			}
			if open != wasOpen {
				changes = append(changes, at)
			}
			wasOpen = open
		}
		must.SliceEqFunc(t, schedule.Boundaries(start, end), changes, time.Time.Equal)
	})
}

func TestBoundariesCombineZonesAndSelectors(t *testing.T) {
	document := validDocument()
	document.Selectors[1].Windows = []Window{{From: "09:00", To: "24:00", Days: []string{"mon"}}}
	from := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC) // a Sunday
	var shown []string
	for _, moment := range Boundaries(document, from, from.Add(36*time.Hour)) {
		shown = append(shown, moment.Format("Mon 15:04"))
	}
	must.Eq(t, []string{"Mon 01:00", "Mon 03:30", "Mon 13:00", "Mon 15:30", "Mon 16:00", "Mon 18:30"}, shown)
}
