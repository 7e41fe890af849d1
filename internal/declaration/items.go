package declaration

import (
	"maps"
	"slices"
	"strings"
)

func checkZone(zone Zone, report report) {
	report.require(validName(zone.Name), zone.Name, "name", ruleName)
	report.require(validName(zone.Region), zone.Region, "region", ruleName)
	report.require(validTimeZone(zone.TimeZone), zone.TimeZone, "timeZone", ruleTimeZone)
	checkLabels(zone.Labels, "labels", report)
}

func checkService(service Service, report report) {
	report.require(validName(service.Name), service.Name, "name", ruleName)
}

func checkWorker(worker Worker, report report) {
	report.require(validName(worker.Name), worker.Name, "name", ruleName)
	report.require(worker.Slots <= maxCapacity, worker.Slots, "slots", ruleCapacity)
	report.require(worker.Connections <= maxCapacity, worker.Connections, "connections", ruleCapacity)
	checkLabels(worker.Labels, "labels", report)
}

func checkSelector(selector Selector, report report) {
	report.require(validName(selector.Name), selector.Name, "name", ruleName)
	report.require(len(selector.Windows) <= maxWindows, nil, "windows", ruleCount)
	checkLabels(selector.WorkerLabels, "workerLabels", report)
	checkLabels(selector.ZoneLabels, "zoneLabels", report)
}

func checkWindow(window Window, report report) {
	_, daysErr := parseDays(window.Days)
	report.require(daysErr == nil, window.Days, "days", ruleDays)
	report.require(unique(window.Days), nil, "days", ruleUnique)
	from, fromValid := parseClock(window.From)
	to, toValid := parseEnd(window.To)
	report.require(fromValid, window.From, "from", ruleClock)
	report.require(toValid, window.To, "to", ruleEnd)
	report.require(!fromValid || !toValid || from != to, window.From+" to "+window.To, "from", ruleSpan)
	report.require(window.TimeZone == "" || validTimeZone(window.TimeZone), window.TimeZone, "timeZone", ruleTimeZone)
}

func checkRoute(route Route, report report) {
	report.require(validName(route.Name), route.Name, "name", ruleName)
	report.require(route.Host == "" || validHost(route.Host), route.Host, "host", ruleHost)
	report.require(validPath(route.PathPrefix), route.PathPrefix, "pathPrefix", rulePath)
	report.require(priorities[route.Priority], route.Priority, "priority", rulePriority)
	report.require(len(route.Selectors) <= maxRouteSelectors, nil, "selectors", ruleCount)
	report.require(unique(route.Selectors), nil, "selectors", ruleUnique)
	report.require(unique(route.Methods), nil, "methods", ruleUnique)
	for _, method := range route.Methods {
		if !methods[method] {
			report(method, "methods", ruleMethods)
		}
	}
	for _, selector := range route.Selectors {
		if !validName(selector) {
			report(selector, "selectors", ruleName)
		}
	}
}

func checkSecret(secret Secret, report report) {
	report.require(validName(secret.Name), secret.Name, "name", ruleName)
	report.require(digestPattern.MatchString(secret.Digest), secret.Digest, "digest", ruleDigest)
}

func checkLabels(labels Labels, field string, report report) {
	if len(labels) > maxLabels {
		report(nil, field, ruleCount)
		return
	}
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		value := labels[key]
		if !labelPattern.MatchString(key) || !labelPattern.MatchString(value) {
			report(key+": "+value, field, ruleLabels)
		}
	}
}

func validName(name string) bool { return namePattern.MatchString(name) }

func validTimeZone(name string) bool {
	_, err := LoadLocation(name)
	return err == nil
}

func validHost(host string) bool {
	if len(host) > maxHostBytes {
		return false
	}
	for label := range strings.SplitSeq(host, ".") {
		if !validName(label) {
			return false
		}
	}
	return true
}

func validPath(prefix string) bool {
	if len(prefix) > maxPathBytes || !pathPattern.MatchString(prefix) {
		return false
	}
	for segment := range strings.SplitSeq(prefix, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

func unique(values []string) bool {
	seen := make(map[string]bool, len(values))
	for _, value := range values {
		if seen[value] {
			return false
		}
		seen[value] = true
	}
	return true
}
