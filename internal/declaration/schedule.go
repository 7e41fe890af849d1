package declaration

import (
	"regexp"
	"strconv"
	"time"

	"sliphead/internal/fault"
)

// Remedies for invalid schedules.
const (
	remedyTimeZone    = "use an IANA name such as Asia/Kolkata"
	remedyClock       = "write HH:MM from 00:00 to 23:59, or 24:00 as an end"
	remedyDay         = "use mon, tue, wed, thu, fri, sat or sun"
	remedyEmptyWindow = "make the end differ from the start; use 00:00 to 24:00 for the whole day"
)

const (
	minutesPerHour = 60
	minutesPerDay  = 24 * minutesPerHour
	daysPerWeek    = 7
	everyDay       = daySet(1<<daysPerWeek - 1)
)

// daySet is a bit set of time.Weekday values.
type daySet uint8

func (d daySet) has(day time.Weekday) bool { return d&(1<<day) != 0 }

var weekdays = map[string]time.Weekday{
	"sun": time.Sunday, "mon": time.Monday, "tue": time.Tuesday, "wed": time.Wednesday,
	"thu": time.Thursday, "fri": time.Friday, "sat": time.Saturday,
}

var clockPattern = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)

// endOfDay is accepted as the end of a window, so that a window can include the
// last minute of its day.
const endOfDay = "24:00"

// Schedule is a parsed window in one time zone. It is comparable: equal schedules
// are open at the same moments.
type Schedule struct {
	days     daySet
	from     int // minute of the day, inclusive
	to       int // minute of the day, exclusive
	location *time.Location
}

// NewSchedule parses a window. zoneTimeZone is the time zone of the worker's zone,
// which applies when the window has none of its own. The error is of kind
// fault.Declaration.
func NewSchedule(window Window, zoneTimeZone string) (Schedule, error) {
	name := window.TimeZone
	if name == "" {
		name = zoneTimeZone
	}
	location, err := LoadLocation(name)
	if err != nil {
		return Schedule{}, err
	}
	days, err := parseDays(window.Days)
	if err != nil {
		return Schedule{}, err
	}
	from, fromValid := parseClock(window.From)
	to, toValid := parseEnd(window.To)
	if !fromValid || !toValid {
		return Schedule{}, fault.New(fault.Declaration, remedyClock, "window from %q to %q has a malformed time", window.From, window.To)
	}
	if from == to {
		return Schedule{}, fault.New(fault.Declaration, remedyEmptyWindow, "window from %s to %s starts and ends at the same time", window.From, window.To)
	}
	return Schedule{days: days, from: from, to: to, location: location}, nil
}

// Open reports whether the schedule is open at a moment.
//
// Only the local wall clock counts: the schedule is open when the local weekday
// and minute lie within the window. A window that crosses midnight belongs to the
// day on which it starts. When the clock is set forward, the skipped minutes do
// not occur: a window within them does not open that day, and one that starts or
// ends in them starts or ends at the change. When the clock is set back, the
// repeated minutes count twice: a window within them opens twice, and one that
// contains them lasts longer.
func (s Schedule) Open(at time.Time) bool {
	local := at.In(s.location)
	return s.openAtWallClock(local.Weekday(), local.Hour()*minutesPerHour+local.Minute())
}

func (s Schedule) openAtWallClock(day time.Weekday, minute int) bool {
	if s.from < s.to {
		return s.days.has(day) && s.from <= minute && minute < s.to
	}
	dayBefore := (day + daysPerWeek - 1) % daysPerWeek
	return s.days.has(day) && minute >= s.from || s.days.has(dayBefore) && minute < s.to
}

// Open reports whether a window is open at a moment for a worker in a zone with the
// time zone zoneTimeZone. A malformed window is never open. See Schedule.Open for
// the behaviour at daylight saving time changes.
func Open(window Window, at time.Time, zoneTimeZone string) bool {
	schedule, err := NewSchedule(window, zoneTimeZone)
	return err == nil && schedule.Open(at)
}

func parseDays(names []string) (daySet, error) {
	if len(names) == 0 {
		return everyDay, nil
	}
	var days daySet
	for _, name := range names {
		day, found := weekdays[name]
		if !found {
			return 0, fault.New(fault.Declaration, remedyDay, "unknown day %q", name)
		}
		days |= 1 << day
	}
	return days, nil
}

// parseClock parses HH:MM and returns the minute of the day.
func parseClock(text string) (int, bool) {
	if !clockPattern.MatchString(text) {
		return 0, false
	}
	hour, _ := strconv.Atoi(text[:2]) // cannot fail: the pattern admits only digits
	minute, _ := strconv.Atoi(text[3:])
	return hour*minutesPerHour + minute, true
}

// parseEnd is like parseClock, but also accepts endOfDay.
func parseEnd(text string) (int, bool) {
	if text == endOfDay {
		return minutesPerDay, true
	}
	return parseClock(text)
}
