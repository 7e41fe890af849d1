package settings

import (
	"bytes"
	"errors"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"sliphead/internal/fault"
)

// maxFileBytes limits the size of a settings file.
const maxFileBytes = 1 << 20

// Load reads a settings file, applies the overrides (from flags), sets the defaults and
// validates the result.
func Load(path string, overrides ...func(*Settings)) (*Settings, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, overrides...)
}

// readFile reads a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	const remedy = "name a readable settings file with --settings"
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, remedy, "the settings cannot be read")
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, remedy, "the settings %s cannot be read", path)
	}
	if len(text) > maxFileBytes {
		return nil, fault.New(fault.Settings, remedy, "the settings %s have more than %d bytes", path, maxFileBytes)
	}
	return text, nil
}

// Parse does the same as Load with a text that was already read; path is the file name in
// errors.
func Parse(path string, text []byte, overrides ...func(*Settings)) (*Settings, error) {
	settings := Default()
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(settings); err != nil && !errors.Is(err, io.EOF) {
		return nil, decodeError(path, err)
	}
	if err := decoder.Decode(new(any)); !errors.Is(err, io.EOF) {
		return nil, fault.New(fault.Settings, "keep one document in the file", "%s holds more than one YAML document", path)
	}
	for _, override := range overrides {
		override(settings)
	}
	settings.derive()
	document, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, decodeError(path, err)
	}
	return settings, settings.validate(locator{path: path, document: document})
}

// decodeError converts an error of the YAML library to a fault with file name and line.
func decodeError(path string, err error) error {
	var typed lineError
	if errors.As(err, &typed) {
		var inner *fault.Error
		if errors.As(typed.err, &inner) {
			return fault.New(fault.Settings, inner.Remedy, "%s:%d: %s", path, typed.line, inner.What)
		}
	}
	const remedy = "correct the line; sliphead node --print-settings lists the keys"
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		return fault.New(fault.Settings, remedy, "%s:%d: %s", path, located.GetToken().Position.Line, located.GetMessage())
	}
	return fault.Wrap(err, fault.Settings, remedy, "%s", path)
}

// locator finds the line of a key in the file.
type locator struct {
	path     string
	document *ast.File
}

// locate returns the file and line of a key such as listen.peer. If the key is not in the file it
// returns the line of its nearest parent, or the file alone if there is none.
func (p locator) locate(key string) string {
	for key != "" {
		if line := p.line(key); line > 0 {
			return p.path + ":" + itoa(line)
		}
		key = parentOf(key)
	}
	return p.path
}

// line returns the line of a key, 0 if the key is not in the file.
func (p locator) line(key string) int {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(p.document)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
