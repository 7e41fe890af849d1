package declaration

import (
	"io/fs"
	"os"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/shoenig/test/must"
)

const (
	goodZones = "epoch: 2\nzones:\n  - name: edappally\n    region: kochi\n    timeZone: Asia/Kolkata\n"
	goodRest  = "services:\n  - name: storefront\nworkers:\n  - {name: storefront-1, service: storefront, zone: edappally, slots: 6, connections: 130}\n"
)

func filesystem(contents map[string]string) fs.FS {
	fsys := fstest.MapFS{}
	for name, content := range contents {
		fsys[name] = &fstest.MapFile{Data: []byte(content)}
	}
	return fsys
}

func TestLoadMergesFiles(t *testing.T) {
	document, findings, err := Load(filesystem(map[string]string{
		"a.yaml": goodZones, "b.yaml": goodRest, "empty.yaml": "", "comment.yaml": "# nothing yet\n", "README.md": "# not read",
		"below/c.yaml": "not: read",
	}))
	must.NoError(t, err)
	must.SliceEmpty(t, findings)
	must.Eq(t, 2, document.Epoch)
	must.Eq(t, "storefront-1", document.Workers[0].Name)
}

func TestLoadReportsFileLineAndRemedy(t *testing.T) {
	cases := map[string]struct {
		file   string // second file, after a.yaml
		want   string
		remedy string
	}{
		"unknown key":       {strings.Replace(goodRest, "slots: 6", "slots: 6, slotz: 1", 1), `b.yaml:4: unknown field "slotz"`, remedyYAML},
		"unknown top key":   {goodRest + "rootes: []\n", `b.yaml:5: unknown field "rootes"`, remedyYAML},
		"repeated key":      {goodRest + "services: []\n", "b.yaml:5: ", remedyYAML},
		"wrong type":        {goodRest + "secrets: {name: till}\n", "b.yaml:5: ", remedyYAML},
		"text for a number": {"services: [{name: storefront}]\nworkers: [{slots: six}]", "b.yaml:2: ", remedyYAML},
		"bad syntax":        {goodRest + "routes: [", "b.yaml:5: ", remedyYAML},
		"scalar":            {"text", "b.yaml:1: ", remedyYAML},
		"second document":   {goodRest + "---\nroutes: []\n", "b.yaml:6: the file holds more than one document", "file of its own"},
		"alias":             {"services: &a\n  - name: storefront\nworkers: *a\n", "b.yaml:1: anchors, aliases and tags", "write the value out"},
		"nested too deeply": {"services: " + strings.Repeat("[", 1<<16), "b.yaml:1: the file nests too deeply", remedyYAML},
		"too long":          {strings.Repeat("#", MaxFileBytes+1), "b.yaml: the file has more than 1048576 bytes", "split it"},
		"second epoch":      {goodRest + "epoch: 3\n", "b.yaml: the epoch is set in a.yaml as well", "in one file"},
		"unknown zone": {strings.Replace(goodRest, "zone: edappally", "zone: edapally", 1),
			`b.yaml:4: worker "storefront-1" names zone "edapally", which is not declared`, "declare it under zones"},
		"second zone": {"services:\n  - name: storefront\n" + strings.TrimPrefix(goodZones, "epoch: 2\n"),
			`b.yaml:4: zone "edappally" is declared twice`, "rename or remove one"},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			_, findings, err := Load(filesystem(map[string]string{"a.yaml": goodZones, "b.yaml": each.file}))
			must.NoError(t, err)
			must.SliceNotEmpty(t, findings)
			must.StrHasPrefix(t, each.want, findings[0].String())
			must.StrContains(t, findings[0].Remedy, each.remedy)
		})
	}
}

func TestLoadReportsFilesWithExtensionYML(t *testing.T) {
	_, findings, err := Load(filesystem(map[string]string{"a.yaml": goodZones + goodRest, "b.yml": ""}))
	must.NoError(t, err)
	must.Eq(t, []Finding{{File: "b.yml", What: "the file is ignored because of its extension", Remedy: remedyExtension}}, findings)
}

func TestLoadFailsOnUnreadableDirectory(t *testing.T) {
	_, _, err := Load(os.DirFS("absent"))
	must.ErrorContains(t, err, "remedy: name a directory that can be read")
}

// meshDirectory is the directory of the declarations of the users' meshes.
const meshDirectory = "../../experiments/declarations"

func TestDeclarationsOfMeshesAreValid(t *testing.T) {
	for _, mesh := range []string{"chandrika", "tan-seng-huat"} {
		document, findings, err := Load(os.DirFS(meshDirectory + "/" + mesh))
		must.NoError(t, err)
		must.SliceEmpty(t, findings)
		must.Len(t, 4, document.Zones)
		must.Len(t, 12, document.Workers)
		parsed, err := Parse(encodeJSON(t, document))
		must.NoError(t, err)
		must.Eq(t, encodeJSON(t, document), encodeJSON(t, parsed))
	}
}

// FuzzLoad checks that a file either yields a document that Parse accepts, or
// findings with remedies.
func FuzzLoad(f *testing.F) {
	seeds := []string{
		"", "a: b", goodZones + goodRest, goodRest, "zones: &a [*a]", "zones: [[[", "? {", "- - -", "zones: !!binary x",
		"zones:\n\t- name", "\"\\x", "a: |\n b", "---\n---\n", "<<: {a: b}", "zones: [{labels: {1: yes, null: ~}}]",
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		document, findings, err := Load(filesystem(map[string]string{"a.yaml": string(data)}))
		must.NoError(t, err)
		for _, finding := range findings {
			must.NotEq(t, "", finding.What)
			must.NotEq(t, "", finding.Remedy)
		}
		if len(findings) == 0 {
			_, err = Parse(encodeJSON(t, document))
			must.NoError(t, err)
		}
	})
}
