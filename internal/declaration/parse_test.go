package declaration

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/fault"
)

// sound returns a document without findings.
func sound() *Document {
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

func encoded(t testing.TB, document *Document) []byte {
	t.Helper()
	data, err := json.Marshal(document)
	must.NoError(t, err)
	return data
}

func TestParseReturnsWhatWasEncoded(t *testing.T) {
	document, err := Parse(encoded(t, sound()))
	must.NoError(t, err)
	must.Eq(t, sound(), document)
}

func TestParseRefusesWithARemedy(t *testing.T) {
	whole := string(encoded(t, sound()))
	again := `"zones":[{"name":"edappally","region":"kochi","timeZone":"Asia/Kolkata"}]`
	cases := map[string]struct{ data, what, remedy string }{
		"nothing":         {"", "decode the document", remedyJSON},
		"half":            {whole[:len(whole)/2], "unexpected EOF", remedyJSON},
		"web page":        {"<html>", "invalid character", remedyJSON},
		"list":            {"[]", "cannot unmarshal array", remedyJSON},
		"null":            {"null", "has no zones", "declare at least one"},
		"wrong type":      {`{"epoch":"1"}`, "cannot unmarshal string", remedyJSON},
		"unknown field":   {`{"zonez":[]}`, `unknown field "zonez"`, remedyJSON},
		"trailing":        {whole + "x", "the document ends at byte", "nothing after it"},
		"second document": {whole + whole, "the document ends at byte", "nothing after it"},
		"repeated":        {`{` + again + "," + whole[1:], `field "zones" is given twice`, "keep one"},
		"repeated, cased": {`{` + again + "," + strings.Replace(whole[1:], `"zones"`, `"ZONES"`, 1), `field "ZONES" is given twice`, "keep one"},
		"repeated, folded": {`{"secrets":[],` + strings.Replace(whole[1:], `"secrets"`, `"ſecretſ"`, 1),
			`field "ſecretſ" is given twice`, "keep one"},
		"repeated label": {strings.Replace(whole, `"shift":"day"`, `"shift":"day","shift":"night"`, 1), `"shift" is given twice`, "keep one"},
		"too long":       {strings.Repeat(" ", MaxDocumentBytes) + whole, "the bound is 8388608", remedyTooLong},
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

func TestParseTellsLabelsApartByCase(t *testing.T) {
	document := sound()
	document.Workers[0].Labels = Labels{"a": "1", "A": "2"}
	parsed, err := Parse(encoded(t, document))
	must.NoError(t, err)
	must.Eq(t, document, parsed)
}

// FuzzParse: what Parse takes is taken again in its own encoding, unchanged.
func FuzzParse(f *testing.F) {
	whole := encoded(f, sound())
	for _, seed := range []string{"", "null", "{}", "[", `{"epoch":1e3}`, string(whole), string(whole) + "{}", string(whole[:200])} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := Parse(data)
		if err != nil {
			must.ErrorContains(t, err, "remedy: ")
			return
		}
		again, err := Parse(encoded(t, document))
		must.NoError(t, err)
		must.Eq(t, encoded(t, document), encoded(t, again))
	})
}
