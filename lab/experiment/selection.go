package experiment

import (
	"slices"

	"sliphead/internal/fault"
	"sliphead/lab/mesh"
)

// The values of Selection.Kind.
const (
	kindEdge    = "edge"
	kindWorker  = "worker"
	kindReader  = "reader"
	kindRunning = "running"
	kindEnded   = "ended"
)

// selectNodes returns the selected nodes and stores them for selections with Last set.
func (r *run) selectNodes(selection Selection) ([]*mesh.Node, error) {
	if selection.Last {
		return r.lastSelected, nil
	}
	var nodes []*mesh.Node
	for _, node := range r.mesh.Nodes {
		if selection.matches(node) {
			nodes = append(nodes, node)
		}
	}
	if selection.Share > 0 {
		nodes = evenIndexesFirst(nodes)
		nodes = nodes[:int(float64(len(nodes))*selection.Share)]
	}
	if len(nodes) == 0 {
		return nil, fault.New(fault.Settings, "correct the selection", "no node is selected by %+v", selection)
	}
	r.lastSelected = nodes
	return nodes, nil
}

func (s Selection) matches(node *mesh.Node) bool {
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

// evenIndexesFirst moves nodes with an even index to the front, so that the first
// share of the nodes is spread over the zones.
func evenIndexesFirst(nodes []*mesh.Node) []*mesh.Node {
	ordered := make([]*mesh.Node, 0, len(nodes))
	for index := 0; index < len(nodes); index += 2 {
		ordered = append(ordered, nodes[index])
	}
	for index := 1; index < len(nodes); index += 2 {
		ordered = append(ordered, nodes[index])
	}
	return ordered
}

func nodeNames(nodes []*mesh.Node) []string {
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, node.Name)
	}
	return names
}
