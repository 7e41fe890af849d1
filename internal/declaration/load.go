package declaration

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"sliphead/internal/fault"
)

// MaxFileBytes is the maximum size of one declaration file.
const MaxFileBytes = 1 << 20

const (
	remedyYAML      = "write plain YAML with the keys that the operators' guide lists"
	remedyExtension = "rename it to end in .yaml, so that it is read"
)

// Load reads the *.yaml files of a directory, without its subdirectories, in the
// order of their names, and merges their lists into one document. The findings
// are the problems found, sorted by file and line; the document is complete only
// when there are none. The error is non-nil when the directory or a file cannot
// be read.
func Load(fsys fs.FS) (*Document, []Finding, error) {
	entries, err := fs.ReadDir(fsys, ".")
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.Declaration, "name a directory that can be read", "list the declarations")
	}
	loader := &loader{document: new(Document), origins: make(map[itemRef]origin)}
	for _, entry := range entries {
		if err := loader.readEntry(fsys, entry); err != nil {
			return nil, nil, err
		}
	}
	if len(loader.findings) == 0 {
		loader.validate()
	}
	slices.SortStableFunc(loader.findings, func(a, b Finding) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return loader.document, loader.findings, nil
}

// LoadValid is like Load, but returns findings as one error of kind fault.Declaration.
func LoadValid(fsys fs.FS) (*Document, error) {
	document, findings, err := Load(fsys)
	if err != nil {
		return nil, err
	}
	if err := FindingsError(findings); err != nil {
		return nil, err
	}
	return document, nil
}

// origin is the position in a file from which an item was read.
type origin struct {
	file string
	line int
}

// loader merges declaration files into one document.
type loader struct {
	document  *Document
	findings  []Finding
	origins   map[itemRef]origin // position of each item
	epochFile string             // name of the file that sets the epoch, empty if none has
}

func (l *loader) add(at origin, remedy, format string, args ...any) {
	l.findings = append(l.findings, Finding{File: at.file, Line: at.line, What: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (l *loader) readEntry(fsys fs.FS, entry fs.DirEntry) error {
	name := entry.Name()
	if entry.IsDir() {
		return nil
	}
	if path.Ext(name) == ".yml" {
		l.add(origin{file: name}, remedyExtension, "the file is ignored because of its extension")
		return nil
	}
	if path.Ext(name) != ".yaml" {
		return nil
	}
	data, err := readBounded(fsys, name)
	if err != nil {
		return fault.Wrap(err, fault.Declaration, "make the file readable", "read %s", name)
	}
	if len(data) > MaxFileBytes {
		l.add(origin{file: name}, "split it into several files", "the file has more than %d bytes", MaxFileBytes)
		return nil
	}
	l.readFile(name, data)
	return nil
}

// readBounded reads at most MaxFileBytes+1 bytes, so that the caller can detect
// a file that is too large.
func readBounded(fsys fs.FS, name string) ([]byte, error) {
	file, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
}

// readFile merges one file into the document, or adds findings.
func (l *loader) readFile(name string, data []byte) {
	if line, deep := findExcessiveNesting(data); deep {
		l.add(origin{file: name, line: line}, remedyYAML, "the file nests too deeply")
		return
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		l.addYAMLError(name, err)
		return
	}
	roots := slices.DeleteFunc(file.Docs, func(document *ast.DocumentNode) bool { return document.Body == nil })
	if len(roots) == 0 {
		return
	}
	if len(roots) > 1 {
		at := origin{file: name, line: lineOf(roots[1].Body)}
		l.add(at, "move it to a file of its own", "the file holds more than one document")
		return
	}
	if node := findAnchorOrTag(roots[0].Body); node != nil {
		l.add(origin{file: name, line: lineOf(node)}, "write the value out", "anchors, aliases and tags are not supported")
		return
	}
	var part Document
	if err := yaml.NodeToValue(roots[0].Body, &part, yaml.Strict()); err != nil {
		l.addYAMLError(name, err)
		return
	}
	l.recordOrigins(name, roots[0].Body)
	l.merge(name, &part)
}

func (l *loader) addYAMLError(file string, err error) {
	at := origin{file: file}
	what := err.Error()
	var positioned yaml.Error
	if errors.As(err, &positioned) {
		what = positioned.GetMessage()
		if token := positioned.GetToken(); token != nil && token.Position != nil {
			at.line = token.Position.Line
		}
	}
	l.add(at, remedyYAML, "%s", what)
}

// merge appends a file's lists to the document. Only one file may set the epoch.
func (l *loader) merge(file string, part *Document) {
	if part.Epoch != 0 {
		if l.epochFile != "" {
			l.add(origin{file: file}, "set the epoch in one file", "the epoch is set in %s as well", l.epochFile)
		}
		l.epochFile = file
		l.document.Epoch = part.Epoch
	}
	l.document.Zones = append(l.document.Zones, part.Zones...)
	l.document.Services = append(l.document.Services, part.Services...)
	l.document.Workers = append(l.document.Workers, part.Workers...)
	l.document.Selectors = append(l.document.Selectors, part.Selectors...)
	l.document.Routes = append(l.document.Routes, part.Routes...)
	l.document.Secrets = append(l.document.Secrets, part.Secrets...)
}

// validate adds the findings of Validate, with the file and line of each item.
// A document that exceeds MaxDocumentBytes when encoded as JSON is a finding too,
// because nodes would reject it.
func (l *loader) validate() {
	if encoded, err := json.Marshal(l.document); err == nil && len(encoded) > MaxDocumentBytes {
		l.add(origin{}, remedyTooLong, "the document has %d bytes as JSON, the maximum is %d", len(encoded), MaxDocumentBytes)
	}
	for _, finding := range Validate(l.document) {
		at := l.origins[finding.item]
		finding.File, finding.Line = at.file, at.line
		l.findings = append(l.findings, finding)
	}
}
