package declaration

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/fault"
)

// validDocument returns a valid document.
func validDocument() *Document {
	return &Document{
		Epoch: 1,
		Zones: []Zone{
			{Name: "edappally", Region: "kochi", TimeZone: "Asia/Kolkata", Labels: Labels{"site": "edappally"}},
			{Name: "subang", Region: "klang-valley", TimeZone: "Asia/Kuala_Lumpur"},
		},
		Services: []Service{{Name: "storefront"}, {Name: "prepress"}},
		Workers: []Worker{
			{Name: "storefront-1", Service: "storefront", Zone: "edappally", Slots: 6, Connections: 130, Labels: Labels{"shift": "day"}},
			{Name: "prepress-1", Service: "prepress", Zone: "subang", Slots: 6, Connections: 130},
		},
		Selectors: []Selector{
			{Name: "day", Service: "storefront", WorkerLabels: Labels{"shift": "day"}, Windows: []Window{{Days: []string{"mon"}, From: "09:00", To: "21:00"}}},
			{Name: "press", Service: "prepress"},
		},
		Routes: []Route{
			{Name: "orders", PathPrefix: "/orders", Methods: []string{"POST"}, Service: "storefront", Selectors: []string{"day"}, Secret: "till", Priority: PriorityInteractive, DeadlineMS: 1000},
			{Name: "prices", PathPrefix: "/prices", Service: "prepress", Selectors: []string{"press"}, Priority: PriorityInternal, Repeatable: true, DeadlineMS: 1000},
		},
		Secrets: []Secret{{Name: "till", Digest: strings.Repeat("0a", 32)}},
	}
}

func encodeJSON(t testing.TB, document *Document) []byte {
	t.Helper()
	data, err := json.Marshal(document)
	must.NoError(t, err)
	return data
}

func TestParseRoundTrip(t *testing.T) {
	document, err := Parse(encodeJSON(t, validDocument()))
	must.NoError(t, err)
	must.Eq(t, validDocument(), document)
}

func TestParseRejectsInvalidInputWithRemedy(t *testing.T) {
	valid := string(encodeJSON(t, validDocument()))
	duplicate := `"zones":[{"name":"edappally","region":"kochi","timeZone":"Asia/Kolkata"}]`
	cases := map[string]struct{ data, what, remedy string }{
		"empty":           {"", "decode the document", remedyJSON},
		"truncated":       {valid[:len(valid)/2], "unexpected EOF", remedyJSON},
		"web page":        {"<html>", "invalid character", remedyJSON},
		"list":            {"[]", "cannot unmarshal array", remedyJSON},
		"null":            {"null", "has no zones", "declare at least one"},
		"wrong type":      {`{"epoch":"1"}`, "cannot unmarshal string", remedyJSON},
		"unknown field":   {`{"zonez":[]}`, `unknown field "zonez"`, remedyJSON},
		"trailing data":   {valid + "x", "the document ends at byte", "nothing after it"},
		"second document": {valid + valid, "the document ends at byte", "nothing after it"},
		"repeated":        {`{` + duplicate + "," + valid[1:], `field "zones" is given twice`, "keep one"},
		"repeated, cased": {`{` + duplicate + "," + strings.Replace(valid[1:], `"zones"`, `"ZONES"`, 1), `field "ZONES" is given twice`, "keep one"},
		"repeated, folded": {`{"secrets":[],` + strings.Replace(valid[1:], `"secrets"`, `"ſecretſ"`, 1),
			`field "ſecretſ" is given twice`, "keep one"},
		"repeated label": {strings.Replace(valid, `"shift":"day"`, `"shift":"day","shift":"night"`, 1), `"shift" is given twice`, "keep one"},
		"too long":       {strings.Repeat(" ", MaxDocumentBytes) + valid, "the maximum is 8388608", remedyTooLong},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			document, err := Parse([]byte(each.data))
			must.Nil(t, document)
			must.ErrorContains(t, err, each.what)
			must.ErrorContains(t, err, "remedy: ")
			must.ErrorContains(t, err, each.remedy)
			must.Eq(t, fault.Declaration, fault.KindOf(err))
		})
	}
}

func TestParseKeepsLabelKeysCaseSensitive(t *testing.T) {
	document := validDocument()
	document.Workers[0].Labels = Labels{"a": "1", "A": "2"}
	parsed, err := Parse(encodeJSON(t, document))
	must.NoError(t, err)
	must.Eq(t, document, parsed)
}

// FuzzParse checks that a document accepted by Parse survives encoding and parsing
// again without a change.
func FuzzParse(f *testing.F) {
	valid := encodeJSON(f, validDocument())
	for _, seed := range []string{"", "null", "{}", "[", `{"epoch":1e3}`, string(valid), string(valid) + "{}", string(valid[:200])} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := Parse(data)
		if err != nil {
			must.ErrorContains(t, err, "remedy: ")
			return
		}
		again, err := Parse(encodeJSON(t, document))
		must.NoError(t, err)
		must.Eq(t, encodeJSON(t, document), encodeJSON(t, again))
	})
}
