package plan

import (
	"fmt"
	"strings"

	"sliphead/internal/declaration"
)

// fieldChanges describes the fields of a route that differ, one per line. Selectors
// are not compared: their changes appear as gained and lost workers.
func fieldChanges(before, after declaration.Route) []string {
	var lines []string
	compareField := func(field string, old, latest any) {
		if old != latest {
			lines = append(lines, fmt.Sprintf("route %s: %s %v becomes %v", before.Name, field, displayValue(old), displayValue(latest)))
		}
	}
	compareField("host", before.Host, after.Host)
	compareField("pathPrefix", before.PathPrefix, after.PathPrefix)
	compareField("methods", strings.Join(before.Methods, ","), strings.Join(after.Methods, ","))
	compareField("service", before.Service, after.Service)
	compareField("secret", before.Secret, after.Secret)
	compareField("priority", before.Priority, after.Priority)
	compareField("repeatable", before.Repeatable, after.Repeatable)
	compareField("deadlineMs", before.DeadlineMS, after.DeadlineMS)
	return lines
}

// displayValue returns a visible text for an empty value.
func displayValue(value any) any {
	if value == "" {
		return "(any or none)"
	}
	return value
}
