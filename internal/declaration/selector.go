package declaration

import "time"

// Holds reports whether the labels hold all of the wanted pairs.
func (l Labels) Holds(wanted Labels) bool {
	for key, value := range wanted {
		held, found := l[key]
		if !found || held != value {
			return false
		}
	}
	return true
}

// MatchesZone reports whether the selector admits workers of the zone.
func (s *Selector) MatchesZone(zone Zone) bool { return zone.Labels.Holds(s.ZoneLabels) }

// MatchesWorker reports whether the selector admits the worker, whatever its
// zone and the time.
func (s *Selector) MatchesWorker(worker Worker) bool {
	return worker.Service == s.Service && worker.Labels.Holds(s.WorkerLabels)
}

// Selects reports whether the selector selects a worker of a zone at a moment.
func (s *Selector) Selects(worker Worker, zone Zone, at time.Time) bool {
	return worker.Zone == zone.Name && s.MatchesWorker(worker) && s.MatchesZone(zone) && s.open(zone, at)
}

// open reports whether a window of the selector is open for workers of a zone.
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

// Schedules prepares the selector's windows for a zone. It is empty when the
// selector is always open.
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
