package snapshot

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/version"
)

func documentFor(t *testing.T, secrets ...string) *declaration.Document {
	t.Helper()
	document := &declaration.Document{
		Epoch:    1,
		Zones:    []declaration.Zone{{Name: "edappally", Region: "kochi", TimeZone: "Asia/Kolkata"}},
		Services: []declaration.Service{{Name: "storefront"}},
		Workers:  []declaration.Worker{{Name: "storefront-1", Service: "storefront", Zone: "edappally", Slots: 6, Connections: 130}},
	}
	for _, name := range secrets {
		document.Secrets = append(document.Secrets, declaration.Secret{Name: name, Digest: secretDigest(name + "-value")})
	}
	return document
}

func TestBuildLeavesUnknownSecretsMissing(t *testing.T) {
	set, err := Build(documentFor(t, "till", "press"), 3, map[string]string{"till": "till-value", "press": "wrong"})
	must.NoError(t, err)
	must.Eq(t, []Key{{Kind: KindSecret, Name: "press"}}, set.Missing())
	filled := set.WithBodies([]Resource{SecretResource("press", "press-value")})
	must.True(t, filled.Complete())
	must.False(t, set.Complete())
	must.Eq(t, set.Version(), filled.Version())
}

func TestDiffThenApplyGivesTheSameSet(t *testing.T) {
	before, err := Build(documentFor(t, "till"), 3, map[string]string{"till": "till-value"})
	must.NoError(t, err)
	document := documentFor(t)
	document.Workers[0].Labels = declaration.Labels{"shift": "night"}
	after, err := Build(document, 4, nil)
	must.NoError(t, err)

	for _, from := range []*Set{Empty(), before} {
		delta := Diff(from, after)
		line, err := json.Marshal(delta)
		must.NoError(t, err)
		var received Delta
		must.NoError(t, json.Unmarshal(line, &received))
		applied, err := from.Apply(received)
		must.NoError(t, err)
		must.Eq(t, after.Version(), applied.Version())
		must.True(t, applied.Complete())
	}
}

func TestApplyRejectsInconsistentDelta(t *testing.T) {
	set, err := Build(documentFor(t), 3, nil)
	must.NoError(t, err)
	whole := Diff(Empty(), set)

	wrongFrom := whole
	wrongFrom.From = version.Version{Revision: 1}
	_, err = Empty().Apply(wrongFrom)
	must.ErrorContains(t, err, "delta starts at")

	wrongDigest := whole
	wrongDigest.To.Digest = "00"
	_, err = Empty().Apply(wrongDigest)
	must.ErrorContains(t, err, "announced was")

	forged := whole
	forged.Put = append([]Resource{}, whole.Put...)
	forged.Put[0].Body = json.RawMessage(`{"name":"elsewhere"}`)
	_, err = Empty().Apply(forged)
	must.ErrorContains(t, err, "does not match its digest")
}

func TestSetValidateMatchesDocumentValidate(t *testing.T) {
	valid := documentFor(t, "till")
	invalid := documentFor(t)
	invalid.Workers[0].Name = "No Name"
	dangling := documentFor(t)
	dangling.Workers[0].Zone = "elsewhere"
	repeated := documentFor(t)
	repeated.Zones = nil

	for _, document := range []*declaration.Document{valid, invalid, dangling, repeated} {
		set, err := Build(document, 1, nil)
		must.NoError(t, err)
		must.Eq(t, texts(declaration.Validate(set.Document())), texts(set.Validate()))
	}
}

func TestApplyRejectsUndecodableBody(t *testing.T) {
	body := json.RawMessage(`{"name":7}`)
	resource := Resource{Key: Key{Kind: KindWorker, Name: "worker"}, Digest: hashHex(body), Body: body}
	to := newSet(1, 1, []entry{{Resource: resource}}).Version()
	_, err := Empty().Apply(Delta{To: to, Put: []Resource{resource}})
	must.ErrorContains(t, err, "decode worker/worker")
}

func texts(findings []declaration.Finding) []string {
	var all []string
	for _, finding := range findings {
		all = append(all, finding.What+" "+finding.Remedy)
	}
	return all
}
