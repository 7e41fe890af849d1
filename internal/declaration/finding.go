package declaration

import (
	"cmp"
	"fmt"
	"strings"
)

// Finding is a problem in the declarations, with its remedy.
type Finding struct {
	File   string // empty when the declarations were not read from files
	Line   int    // counted from 1; 0 when unknown
	What   string // description of the problem
	Remedy string // how to fix it
	item   itemRef
}

// String returns "file:line: what (remedy: …)", without the parts that are unknown.
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

// list is the key of one of a document's lists.
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

// itemKinds maps each list to the name of one of its items in messages.
var itemKinds = map[list]string{
	listZones: "zone", listServices: "service", listWorkers: "worker",
	listSelectors: "selector", listRoutes: "route", listSecrets: "secret",
}

// listOrder maps each list to its position in a document.
var listOrder = map[list]int{
	listZones: 1, listServices: 2, listWorkers: 3, listSelectors: 4, listRoutes: 5, listSecrets: 6,
}

// itemRef identifies an item of a document by its list and index. The zero value
// stands for the document itself.
type itemRef struct {
	list  list
	index int
}

// compareFindings orders findings by their item's position, then by text.
func compareFindings(a, b Finding) int {
	return cmp.Or(
		cmp.Compare(listOrder[a.item.list], listOrder[b.item.list]),
		cmp.Compare(a.item.index, b.item.index),
		cmp.Compare(a.What, b.What),
		cmp.Compare(a.Remedy, b.Remedy),
	)
}
