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

// MaxFileBytes bounds one file of declarations.
const MaxFileBytes = 1 << 20

const (
	remedyYAML      = "write plain YAML with the keys that the operators' guide lists"
	remedyExtension = "rename it to end in .yaml, so that it is read"
)

// Load reads the files *.yaml of a directory, not of those below it, in the
// order of their names, and joins their lists into one document. The findings
// say what is wrong, sorted by file and line; the document is whole only when
// there are none. The error says that the directory cannot be read.
func Load(fsys fs.FS) (*Document, []Finding, error) {
	entries, err := fs.ReadDir(fsys, ".")
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.Declaration, "name a directory that can be read", "list the declarations")
	}
	loader := &loader{document: new(Document), origins: make(map[place]origin)}
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

// LoadValid is Load with one error for all findings.
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

// origin is where an item was read from.
type origin struct {
	file string
	line int
}

// loader joins files.
type loader struct {
	document  *Document
	findings  []Finding
	origins   map[place]origin
	epochFile string // file that sets the epoch
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
		l.add(origin{file: name}, remedyExtension, "the file is not read")
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

// readBounded reads one byte more than MaxFileBytes at most.
func readBounded(fsys fs.FS, name string) ([]byte, error) {
	file, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
}

// readFile adds one file to the document, or findings.
func (l *loader) readFile(name string, data []byte) {
	if line, deep := tooDeep(data); deep {
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
	if node := findReference(roots[0].Body); node != nil {
		l.add(origin{file: name, line: lineOf(node)}, "write the value out", "anchors, aliases and tags are not read")
		return
	}
	var part Document
	if err := yaml.NodeToValue(roots[0].Body, &part, yaml.Strict()); err != nil {
		l.addYAMLError(name, err)
		return
	}
	l.noteOrigins(name, roots[0].Body)
	l.join(name, &part)
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

// join appends a file's lists. Only one file may set the epoch.
func (l *loader) join(file string, part *Document) {
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

// validate adds what Validate finds, with the file and line of each item, and a
// document that no node would take for its length.
func (l *loader) validate() {
	if encoded, err := json.Marshal(l.document); err == nil && len(encoded) > MaxDocumentBytes {
		l.add(origin{}, remedyTooLong, "the document has %d bytes as JSON, the bound is %d", len(encoded), MaxDocumentBytes)
	}
	for _, finding := range Validate(l.document) {
		at := l.origins[finding.place]
		finding.File, finding.Line = at.file, at.line
		l.findings = append(l.findings, finding)
	}
}
