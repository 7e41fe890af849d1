package experiment

import (
	"slices"

	"sliphead/internal/fault"
	"sliphead/lab/mesh"
)

// The kinds by which nodes are selected.
const (
	kindEdge    = "edge"
	kindWorker  = "worker"
	kindReader  = "reader"
	kindRunning = "running"
	kindEnded   = "ended"
)

// selectNodes returns the nodes that a selection names and remembers them.
func (r *run) selectNodes(selection Selection) ([]*mesh.Node, error) {
	if selection.Last {
		return r.selected, nil
	}
	var nodes []*mesh.Node
	for _, node := range r.mesh.Nodes {
		if selection.holds(node) {
			nodes = append(nodes, node)
		}
	}
	if selection.Share > 0 {
		nodes = everySecondFirst(nodes)
		nodes = nodes[:int(float64(len(nodes))*selection.Share)]
	}
	if len(nodes) == 0 {
		return nil, fault.New(fault.Settings, "correct the selection", "no node is selected by %+v", selection)
	}
	r.selected = nodes
	return nodes, nil
}

func (s Selection) holds(node *mesh.Node) bool {
	switch {
	case len(s.Names) > 0 && !slices.Contains(s.Names, node.Name):
		return false
	case s.Zone != "" && node.Zone != s.Zone:
		return false
	case s.Except != "" && node.Zone == s.Except:
		return false
	}
	return s.Kind == "" || isOfKind(node, s.Kind)
}

func isOfKind(node *mesh.Node, kind string) bool {
	switch kind {
	case kindEdge:
		return node.Worker == nil
	case kindWorker:
		return node.Worker != nil
	case kindReader:
		status, err := node.Status()
		return err == nil && status.Distribution.Reader
	case kindRunning:
		return node.Running()
	case kindEnded:
		return !node.Running()
	}
	return false
}

// everySecondFirst reorders nodes so that a share of them is spread over zones.
func everySecondFirst(nodes []*mesh.Node) []*mesh.Node {
	ordered := make([]*mesh.Node, 0, len(nodes))
	for index := 0; index < len(nodes); index += 2 {
		ordered = append(ordered, nodes[index])
	}
	for index := 1; index < len(nodes); index += 2 {
		ordered = append(ordered, nodes[index])
	}
	return ordered
}

func namesOf(nodes []*mesh.Node) []string {
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, node.Name)
	}
	return names
}
