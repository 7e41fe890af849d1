package declaration

import "time"

// ContainsAll reports whether the labels contain all of the wanted pairs.
func (l Labels) ContainsAll(wanted Labels) bool {
	for key, value := range wanted {
		actual, found := l[key]
		if !found || actual != value {
			return false
		}
	}
	return true
}

// MatchesZone reports whether the zone's labels match the selector.
func (s *Selector) MatchesZone(zone Zone) bool { return zone.Labels.ContainsAll(s.ZoneLabels) }

// MatchesWorker reports whether the worker's service and labels match the selector.
// It doesn't check the worker's zone and the windows.
func (s *Selector) MatchesWorker(worker Worker) bool {
	return worker.Service == s.Service && worker.Labels.ContainsAll(s.WorkerLabels)
}

// Selects reports whether the selector selects a worker at a moment. The result is
// false when zone is not the worker's zone.
func (s *Selector) Selects(worker Worker, zone Zone, at time.Time) bool {
	return worker.Zone == zone.Name && s.MatchesWorker(worker) && s.MatchesZone(zone) && s.open(zone, at)
}

// open reports whether a window of the selector is open at a moment for workers of
// a zone, or the selector has no windows.
func (s *Selector) open(zone Zone, at time.Time) bool {
	if len(s.Windows) == 0 {
		return true
	}
	for _, window := range s.Windows {
		if Open(window, at, zone.TimeZone) {
			return true
		}
	}
	return false
}

// Schedules returns the selector's windows as schedules for workers of a zone. The
// result is empty when the selector has no windows and is always open.
func (s *Selector) Schedules(zone Zone) ([]Schedule, error) {
	schedules := make([]Schedule, 0, len(s.Windows))
	for _, window := range s.Windows {
		schedule, err := NewSchedule(window, zone.TimeZone)
		if err != nil {
			return nil, err
		}
		schedules = append(schedules, schedule)
	}
	return schedules, nil
}
