package declaration

import (
	"slices"
	"time"
)

// Boundaries returns the moments in the interval (from, to] at which a window of
// the document opens or closes. They are in UTC, sorted and without duplicates.
// Malformed windows are ignored.
func Boundaries(document *Document, from, to time.Time) []time.Time {
	var moments []time.Time
	for _, schedule := range documentSchedules(document) {
		moments = append(moments, schedule.Boundaries(from, to)...)
	}
	return SortedMoments(moments)
}

// SortedMoments sorts moments in place and returns them without duplicates.
func SortedMoments(moments []time.Time) []time.Time {
	slices.SortFunc(moments, time.Time.Compare)
	return slices.CompactFunc(moments, time.Time.Equal)
}

// documentSchedules returns the distinct schedules of the document's windows, one
// for each time zone in which a window applies.
func documentSchedules(document *Document) []Schedule {
	seen := make(map[Schedule]bool)
	var schedules []Schedule
	for _, selector := range document.Selectors {
		for _, zone := range document.Zones {
			if !selector.MatchesZone(zone) {
				continue
			}
			for _, window := range selector.Windows {
				schedule, err := NewSchedule(window, zone.TimeZone)
				if err == nil && !seen[schedule] {
					seen[schedule] = true
					schedules = append(schedules, schedule)
				}
			}
		}
	}
	return schedules
}

// Boundaries returns the moments in the interval (from, to] at which the schedule
// opens or closes, sorted and in UTC.
//
// The interval is processed in parts with a constant UTC offset, so that each
// wall-clock time of a day occurs at most once within a part. A change of the
// offset may itself open or close the schedule.
func (s Schedule) Boundaries(from, to time.Time) []time.Time {
	var moments []time.Time
	for start := from; start.Before(to); {
		end := to
		if _, change := start.In(s.location).ZoneBounds(); !change.IsZero() && change.Before(to) {
			end = change
		}
		moments = append(moments, s.candidates(start, end)...)
		start = end
	}
	moments = slices.DeleteFunc(moments, func(moment time.Time) bool {
		return !moment.After(from) || moment.After(to) || !s.changesAt(moment)
	})
	return SortedMoments(moments)
}

// candidates returns start, end and the moments between them at which the wall
// clock shows the schedule's start or end. The UTC offset must not change between
// start and end.
func (s Schedule) candidates(start, end time.Time) []time.Time {
	_, offset := start.In(s.location).Zone()
	shift := time.Duration(offset) * time.Second
	midnight := start.UTC().Add(shift).Truncate(24 * time.Hour) // midnight of the wall clock, represented in UTC
	moments := []time.Time{start.UTC(), end.UTC()}
	for day := midnight; !day.Add(-shift).After(end); day = day.Add(24 * time.Hour) {
		for _, minute := range []int{s.from, s.to} {
			moment := day.Add(time.Duration(minute)*time.Minute - shift)
			if !moment.Before(start) && !moment.After(end) {
				moments = append(moments, moment)
			}
		}
	}
	return moments
}

// changesAt reports whether the schedule opens or closes at a moment.
func (s Schedule) changesAt(moment time.Time) bool {
	return s.Open(moment) != s.Open(moment.Add(-time.Nanosecond))
}
