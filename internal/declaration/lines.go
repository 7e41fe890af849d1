package declaration

import (
	"bytes"

	"github.com/goccy/go-yaml/ast"
)

// maxNesting bounds how deep brackets or indents may nest in a file. The YAML
// parser recurses, and declarations nest six deep.
const maxNesting = 64

// tooDeep reports the line on which a file nests beyond maxNesting. It counts
// the open brackets, and the dashes and blanks before each line's text, without
// regard to quotes and comments.
func tooDeep(data []byte) (line int, deep bool) {
	open := 0
	for text := range bytes.Lines(data) {
		line++
		indent := len(text) - len(bytes.TrimLeft(text, " \t-?:"))
		if indent > maxNesting {
			return line, true
		}
		for _, character := range text {
			open = max(0, open+bracketStep(character))
			if open > maxNesting {
				return line, true
			}
		}
	}
	return 0, false
}

// bracketStep is what a character adds to the count of open brackets.
func bracketStep(character byte) int {
	switch character {
	case '[', '{':
		return 1
	case ']', '}':
		return -1
	default:
		return 0
	}
}

// findReference returns the first node that stands for another one or names a
// type, nil if there is none. Such nodes can grow a small file without bound.
func findReference(root ast.Node) ast.Node {
	finder := &referenceFinder{}
	ast.Walk(finder, root)
	return finder.found
}

type referenceFinder struct{ found ast.Node }

// Visit implements ast.Visitor.
func (f *referenceFinder) Visit(node ast.Node) ast.Visitor {
	if f.found != nil {
		return nil
	}
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType, ast.TagType:
		f.found = node
		return nil
	default:
		return f
	}
}

// noteOrigins notes the line of each item of a file's lists. Call it before the
// file's lists are joined to the document.
func (l *loader) noteOrigins(file string, root ast.Node) {
	mapping, isMapping := root.(*ast.MappingNode)
	if !isMapping {
		return
	}
	held := l.lengths()
	for _, entry := range mapping.Values {
		key := list(entry.Key.GetToken().Value)
		sequence, isSequence := entry.Value.(*ast.SequenceNode)
		if !isSequence {
			continue
		}
		for index, item := range sequence.Values {
			l.origins[place{list: key, index: held[key] + index}] = origin{file: file, line: lineOf(item)}
		}
	}
}

func (l *loader) lengths() map[list]int {
	return map[list]int{
		listZones:     len(l.document.Zones),
		listServices:  len(l.document.Services),
		listWorkers:   len(l.document.Workers),
		listSelectors: len(l.document.Selectors),
		listRoutes:    len(l.document.Routes),
		listSecrets:   len(l.document.Secrets),
	}
}

// lineOf returns the line on which a node starts.
func lineOf(node ast.Node) int {
	if mapping, isMapping := node.(*ast.MappingNode); isMapping && len(mapping.Values) > 0 {
		return lineOf(mapping.Values[0].Key)
	}
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return 0
	}
	return token.Position.Line
}
