package declaration

import (
	"fmt"
	"slices"
)

// Maximum lengths of the lists: ten times the size that the system is designed for.
const (
	maxZones     = 64
	maxServices  = 500
	maxWorkers   = 10_000
	maxSelectors = 2_000
	maxRoutes    = 2_000
	maxSecrets   = 1_000
)

// maxFindings limits the memory that the findings of an invalid document take.
const maxFindings = 1_000

// Validate returns the problems of a document, sorted, at most maxFindings. It
// returns none for a valid document. The result depends on the document alone, so
// that all nodes reach the same one.
func Validate(document *Document) []Finding {
	v := &validation{document: document}
	v.checkCounts()
	if len(v.findings) > 0 {
		return v.sorted()
	}
	v.checkFields()
	v.checkRelations()
	return v.sorted()
}

// ValidateRelations is like Validate, but skips the checks of single items. Use it
// for a document whose items have all passed ValidItem.
func ValidateRelations(document *Document) []Finding {
	v := &validation{document: document}
	v.checkCounts()
	if len(v.findings) == 0 {
		v.checkRelations()
	}
	return v.sorted()
}

// Item is one declared item.
type Item interface {
	Zone | Service | Worker | Selector | Route | Secret
}

// ValidItem reports whether an item satisfies the rules for single items.
func ValidItem[T Item](item T) bool { return len(violations(item)) == 0 }

// checkRelations checks the rules that involve more than one item.
func (v *validation) checkRelations() {
	v.checkDuplicates()
	v.checkReferences()
	v.checkAmbiguities()
}

// validation collects the findings of one document.
type validation struct {
	document *Document
	findings []Finding
}

// add records a finding. Findings beyond maxFindings are dropped; the document is
// rejected anyway.
func (v *validation) add(at itemRef, remedy, format string, args ...any) {
	if len(v.findings) >= maxFindings {
		return
	}
	v.findings = append(v.findings, Finding{What: fmt.Sprintf(format, args...), Remedy: remedy, item: at})
}

func (v *validation) sorted() []Finding {
	slices.SortFunc(v.findings, compareFindings)
	return slices.Compact(v.findings)
}

// checkCounts checks the lengths of the lists. It runs before the checks that iterate
// over the lists.
func (v *validation) checkCounts() {
	document := v.document
	v.checkCount(listZones, len(document.Zones), 1, maxZones)
	v.checkCount(listServices, len(document.Services), 1, maxServices)
	v.checkCount(listWorkers, len(document.Workers), 0, maxWorkers)
	v.checkCount(listSelectors, len(document.Selectors), 0, maxSelectors)
	v.checkCount(listRoutes, len(document.Routes), 0, maxRoutes)
	v.checkCount(listSecrets, len(document.Secrets), 0, maxSecrets)
}

func (v *validation) checkCount(of list, length, minimum, maximum int) {
	if length < minimum {
		v.add(itemRef{}, fmt.Sprintf("declare at least one under %s", of), "the document has no %s", of)
	}
	if length > maximum {
		v.add(itemRef{}, remedyTooLong, "the document has %d %s, the maximum is %d", length, of, maximum)
	}
}

// checkFields checks each item against the rules for single fields.
func (v *validation) checkFields() {
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
		for _, fault := range violations(item) {
			v.add(itemRef{list: of, index: index}, fault.remedy, "%s: %s", describeItem(of, item), fault.what)
		}
	}
}

// describeItem returns the kind and name of an item for messages.
func describeItem(of list, item named) string { return itemKinds[of] + " " + quoted(item.name()) }

// named is implemented by all declared items.
type named interface{ name() string }

func (z Zone) name() string     { return z.Name }
func (s Service) name() string  { return s.Name }
func (w Worker) name() string   { return w.Name }
func (s Selector) name() string { return s.Name }
func (r Route) name() string    { return r.Name }
func (s Secret) name() string   { return s.Name }
