package plan

import (
	"fmt"
	"strings"

	"sliphead/internal/declaration"
)

// fieldChanges says which fields of a route differ. The selectors are left to
// the gains and losses of workers.
func fieldChanges(before, after declaration.Route) []string {
	var lines []string
	note := func(field string, old, latest any) {
		if old != latest {
			lines = append(lines, fmt.Sprintf("route %s: %s %v becomes %v", before.Name, field, shown(old), shown(latest)))
		}
	}
	note("host", before.Host, after.Host)
	note("pathPrefix", before.PathPrefix, after.PathPrefix)
	note("methods", strings.Join(before.Methods, ","), strings.Join(after.Methods, ","))
	note("service", before.Service, after.Service)
	note("secret", before.Secret, after.Secret)
	note("priority", before.Priority, after.Priority)
	note("repeatable", before.Repeatable, after.Repeatable)
	note("deadlineMs", before.DeadlineMS, after.DeadlineMS)
	return lines
}

// shown makes an empty field visible.
func shown(value any) any {
	if value == "" {
		return "(any or none)"
	}
	return value
}
