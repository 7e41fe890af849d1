package declaration

import (
	"bytes"

	"github.com/goccy/go-yaml/ast"
)

// maxNesting limits the nesting depth of brackets and the indentation in a file,
// because the YAML parser is recursive. Declarations nest six levels deep.
const maxNesting = 64

// findExcessiveNesting returns the first line on which a file exceeds maxNesting. It counts
// open brackets and, for each line, the indentation and indicator characters
// before the text. Brackets within quotes and comments count too.
func findExcessiveNesting(data []byte) (line int, deep bool) {
	open := 0
	for text := range bytes.Lines(data) {
		line++
		indent := len(text) - len(bytes.TrimLeft(text, " \t-?:"))
		if indent > maxNesting {
			return line, true
		}
		for _, character := range text {
			open = max(0, open+bracketDelta(character))
			if open > maxNesting {
				return line, true
			}
		}
	}
	return 0, false
}

// bracketDelta returns the change that a character makes to the count of open brackets.
func bracketDelta(character byte) int {
	switch character {
	case '[', '{':
		return 1
	case ']', '}':
		return -1
	default:
		return 0
	}
}

// findAnchorOrTag returns the first anchor, alias, merge key or tag, nil if there is
// none. Aliases would let a small file expand without bound.
func findAnchorOrTag(root ast.Node) ast.Node {
	finder := &anchorOrTagFinder{}
	ast.Walk(finder, root)
	return finder.found
}

type anchorOrTagFinder struct{ found ast.Node }

// Visit implements ast.Visitor.
func (f *anchorOrTagFinder) Visit(node ast.Node) ast.Visitor {
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

// recordOrigins records the file and line of each item of a file's lists. It must
// be called before the file's lists are appended to the document.
func (l *loader) recordOrigins(file string, root ast.Node) {
	mapping, isMapping := root.(*ast.MappingNode)
	if !isMapping {
		return
	}
	lengths := l.listLengths()
	for _, entry := range mapping.Values {
		key := list(entry.Key.GetToken().Value)
		sequence, isSequence := entry.Value.(*ast.SequenceNode)
		if !isSequence {
			continue
		}
		for index, item := range sequence.Values {
			l.origins[itemRef{list: key, index: lengths[key] + index}] = origin{file: file, line: lineOf(item)}
		}
	}
}

func (l *loader) listLengths() map[list]int {
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
