// Package docs checks that the pages name what the code offers.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/settings"
)

const root = ".."

var (
	eventName  = regexp.MustCompile(`^[a-z]+\.[a-z][A-Za-z-]*$`)
	metricName = regexp.MustCompile(`^sliphead_[a-z_]+$`)
	loggers    = []string{"Event", "Problem", "Log", "log", "Debug", "Info", "Warn", "Error"}
)

func TestOperatorsPageNamesEverything(t *testing.T) {
	names := gather(t)
	for kind, found := range map[string][]string{
		"setting":           keysOf(reflect.TypeFor[settings.Settings](), "yaml", ""),
		"declaration field": keysOf(reflect.TypeFor[declaration.Document](), "yaml", ""),
		"log event":         names.events,
		"metric":            names.metrics,
		"cause":             names.causes,
	} {
		slices.Sort(found)
		for _, name := range slices.Compact(found) {
			if !strings.Contains(page(t, "operators.md"), "`"+name+"`") {
				t.Errorf("docs/operators.md does not name %s `%s`", kind, name)
			}
		}
	}
}

// The gatherer itself must not go blind: one name of each way of writing.
func TestGatherFindsEachWayOfWriting(t *testing.T) {
	names := gather(t)
	for _, name := range []string{"node.ready", "version.refused", "claim.recovered", "transport.streamClosed", "source.failed", "request.unknown"} {
		must.SliceContains(t, names.events, name)
	}
	must.SliceContains(t, names.metrics, "sliphead_requests_total")
	must.SliceContains(t, names.causes, "caller-gone")
	must.SliceContains(t, names.causes, "too-long")
	must.SliceContains(t, keysOf(reflect.TypeFor[settings.Settings](), "yaml", ""), "claims.since")
	must.SliceContains(t, keysOf(reflect.TypeFor[declaration.Document](), "yaml", ""), "selectors.windows.timeZone")
}

func TestEverythingPublicHasAComment(t *testing.T) {
	documented := map[string]bool{}
	directories := map[string]bool{}
	walk(t, func(path string, file *ast.File) {
		directory := filepath.Dir(path)
		directories[directory] = true
		documented[directory] = documented[directory] || file.Doc != nil
		for _, declared := range file.Decls {
			for _, name := range uncommented(declared) {
				t.Errorf("%s: %s has no doc comment", path, name)
			}
		}
	})
	for directory := range directories {
		must.True(t, documented[directory], must.Sprintf("%s has no package comment", directory))
	}
}

type gathered struct{ events, metrics, causes []string }

// gather collects the names that the program's own packages write.
func gather(t *testing.T) gathered {
	var names gathered
	walk(t, func(path string, file *ast.File) {
		if !strings.HasPrefix(path, filepath.Join(root, "internal")) {
			return
		}
		ast.Inspect(file, func(node ast.Node) bool {
			names.take(node)
			return true
		})
	})
	return names
}

func (g *gathered) take(node ast.Node) {
	switch node := node.(type) {
	case *ast.BasicLit:
		if name := text(node); metricName.MatchString(name) {
			g.metrics = append(g.metrics, name)
		}
	case *ast.CallExpr:
		if called, ok := node.Fun.(*ast.SelectorExpr); ok && slices.Contains(loggers, called.Sel.Name) {
			for _, argument := range node.Args {
				g.event(argument)
			}
		}
	case *ast.KeyValueExpr:
		if text(node.Key) == "event" {
			g.event(node.Value)
		}
	case *ast.ValueSpec:
		g.constant(node)
	}
}

func (g *gathered) event(expression ast.Expr) {
	if name := text(expression); eventName.MatchString(name) {
		g.events = append(g.events, name)
	}
}

func (g *gathered) constant(spec *ast.ValueSpec) {
	for index, value := range spec.Values {
		if strings.HasPrefix(spec.Names[index].Name, "Log") {
			g.event(value)
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "cause" {
			g.causes = append(g.causes, text(value))
		}
	}
}

// text returns the value of a string literal, "" for anything else.
func text(expression ast.Expr) string {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	value, _ := strconv.Unquote(literal.Value) // the parser has accepted it
	return value
}

// uncommented names the exported items of a declaration that have no comment.
func uncommented(declared ast.Decl) []string {
	switch declared := declared.(type) {
	case *ast.FuncDecl:
		if declared.Name.IsExported() && declared.Doc == nil && receiverExported(declared) {
			return []string{declared.Name.Name}
		}
	case *ast.GenDecl:
		return uncommentedSpecs(declared)
	}
	return nil
}

func receiverExported(declared *ast.FuncDecl) bool {
	if declared.Recv == nil {
		return true
	}
	exported := false
	ast.Inspect(declared.Recv.List[0].Type, func(node ast.Node) bool {
		if name, ok := node.(*ast.Ident); ok {
			exported = exported || name.IsExported()
		}
		return true
	})
	return exported
}

func uncommentedSpecs(declared *ast.GenDecl) []string {
	var names []string
	for _, spec := range declared.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			if spec.Name.IsExported() && spec.Doc == nil && declared.Doc == nil {
				names = append(names, spec.Name.Name)
			}
		case *ast.ValueSpec:
			if spec.Names[0].IsExported() && spec.Doc == nil && spec.Comment == nil && declared.Doc == nil {
				names = append(names, spec.Names[0].Name)
			}
		}
	}
	return names
}

// walk parses each Go file of the module but tests and generated verifiers.
func walk(t *testing.T, visit func(path string, file *ast.File)) {
	t.Helper()
	for _, top := range []string{"cmd", "internal", "lab"} {
		must.NoError(t, filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
			must.NoError(t, err)
			visit(path, file)
			return nil
		}))
	}
}

// keysOf returns the dotted keys of a struct's fields.
func keysOf(kind reflect.Type, tag, prefix string) []string {
	for kind.Kind() == reflect.Pointer || kind.Kind() == reflect.Slice {
		kind = kind.Elem()
	}
	if kind.Kind() != reflect.Struct || kind == reflect.TypeFor[settings.Duration]() || kind == reflect.TypeFor[time.Time]() {
		return []string{strings.TrimSuffix(prefix, ".")}
	}
	var keys []string
	for index := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(index).Tag.Get(tag), ",")
		keys = append(keys, keysOf(kind.Field(index).Type, tag, prefix+name+".")...)
	}
	return keys
}

func page(t *testing.T, name string) string {
	content, err := os.ReadFile(name)
	must.NoError(t, err)
	return string(content)
}
