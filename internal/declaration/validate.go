package declaration

import (
	"fmt"
	"slices"
)

// The bounds on the length of each list. They leave room for ten times the
// size that the system is designed for.
const (
	maxZones     = 64
	maxServices  = 500
	maxWorkers   = 10_000
	maxSelectors = 2_000
	maxRoutes    = 2_000
	maxSecrets   = 1_000
)

// maxFindings bounds the memory that a document full of faults can claim.
const maxFindings = 1_000

// Validate returns what is wrong with a document, sorted, nil for a sound one.
// The verdict depends on the document alone: it is the same on every node.
func Validate(document *Document) []Finding {
	check := &validation{document: document}
	check.counts()
	if len(check.findings) > 0 {
		return check.sorted()
	}
	check.fields()
	check.relations()
	return check.sorted()
}

// ValidateRelations is Validate for a document whose items are each known to be
// sound by ValidItem: it looks only at how they relate.
func ValidateRelations(document *Document) []Finding {
	check := &validation{document: document}
	check.counts()
	if len(check.findings) == 0 {
		check.relations()
	}
	return check.sorted()
}

// Item is one declared item.
type Item interface {
	Zone | Service | Worker | Selector | Route | Secret
}

// ValidItem reports whether an item keeps the rules on single items.
func ValidItem[T Item](item T) bool { return len(fieldFaults(item)) == 0 }

// relations applies the rules on how items relate.
func (v *validation) relations() {
	v.duplicates()
	v.references()
	v.ambiguities()
}

// validation gathers findings on one document.
type validation struct {
	document *Document
	findings []Finding
}

// add notes a finding, and drops it when there are maxFindings already: the
// document is refused all the same.
func (v *validation) add(at place, remedy, format string, args ...any) {
	if len(v.findings) >= maxFindings {
		return
	}
	v.findings = append(v.findings, Finding{What: fmt.Sprintf(format, args...), Remedy: remedy, place: at})
}

func (v *validation) sorted() []Finding {
	slices.SortFunc(v.findings, compareFindings)
	return slices.Compact(v.findings)
}

// counts bounds the lists before anything walks them.
func (v *validation) counts() {
	document := v.document
	v.count(listZones, len(document.Zones), 1, maxZones)
	v.count(listServices, len(document.Services), 1, maxServices)
	v.count(listWorkers, len(document.Workers), 0, maxWorkers)
	v.count(listSelectors, len(document.Selectors), 0, maxSelectors)
	v.count(listRoutes, len(document.Routes), 0, maxRoutes)
	v.count(listSecrets, len(document.Secrets), 0, maxSecrets)
}

func (v *validation) count(of list, length, least, most int) {
	if length < least {
		v.add(place{}, fmt.Sprintf("declare at least one under %s", of), "the document has no %s", of)
	}
	if length > most {
		v.add(place{}, remedyTooLong, "the document has %d %s, the bound is %d", length, of, most)
	}
}

// fields applies the rules on single fields to each item.
func (v *validation) fields() {
	document := v.document
	validateItems(v, listZones, document.Zones)
	validateItems(v, listServices, document.Services)
	validateItems(v, listWorkers, document.Workers)
	validateItems(v, listSelectors, document.Selectors)
	validateItems(v, listRoutes, document.Routes)
	validateItems(v, listSecrets, document.Secrets)
}

func validateItems[T named](v *validation, of list, items []T) {
	for index, item := range items {
		for _, fault := range fieldFaults(item) {
			v.add(place{list: of, index: index}, fault.remedy, "%s: %s", title(of, item), fault.what)
		}
	}
}

// title names an item in messages.
func title(of list, item named) string { return kinds[of] + " " + quoted(item.name()) }

// named is any declared item.
type named interface{ name() string }

func (z Zone) name() string     { return z.Name }
func (s Service) name() string  { return s.Name }
func (w Worker) name() string   { return w.Name }
func (s Selector) name() string { return s.Name }
func (r Route) name() string    { return r.Name }
func (s Secret) name() string   { return s.Name }
