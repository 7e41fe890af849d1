package declaration

import (
	"cmp"
	"fmt"
	"strings"
)

// Finding is one thing that is wrong with declarations, and what to do.
type Finding struct {
	File   string // "" when the declarations were not read from files
	Line   int    // from 1; 0 when it is not known
	What   string // what is wrong
	Remedy string // what to do about it
	place  place
}

// String returns "file:line: what (remedy: …)", without the parts not known.
func (f Finding) String() string {
	var text strings.Builder
	if f.File != "" {
		text.WriteString(f.File + ":")
		if f.Line > 0 {
			fmt.Fprintf(&text, "%d:", f.Line)
		}
		text.WriteString(" ")
	}
	fmt.Fprintf(&text, "%s (remedy: %s)", f.What, f.Remedy)
	return text.String()
}

// list names one of the lists of a document by its key.
type list string

// The lists of a document, in the order in which findings are sorted.
const (
	listZones     list = "zones"
	listServices  list = "services"
	listWorkers   list = "workers"
	listSelectors list = "selectors"
	listRoutes    list = "routes"
	listSecrets   list = "secrets"
)

// kinds names an item of each list in messages.
var kinds = map[list]string{
	listZones: "zone", listServices: "service", listWorkers: "worker",
	listSelectors: "selector", listRoutes: "route", listSecrets: "secret",
}

// order gives the lists' places in a document.
var order = map[list]int{
	listZones: 1, listServices: 2, listWorkers: 3, listSelectors: 4, listRoutes: 5, listSecrets: 6,
}

// place says which item of which list a finding is about. The zero place is the
// document itself.
type place struct {
	list  list
	index int
}

// compareFindings orders findings by place, then text.
func compareFindings(a, b Finding) int {
	return cmp.Or(
		cmp.Compare(order[a.place.list], order[b.place.list]),
		cmp.Compare(a.place.index, b.place.index),
		cmp.Compare(a.What, b.What),
		cmp.Compare(a.Remedy, b.Remedy),
	)
}
