package declaration

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestValidateReportsProblemAndRemedy(t *testing.T) {
	cases := map[string]struct {
		corrupt      func(d *Document)
		what, remedy string
	}{
		"no zones":            {func(d *Document) { d.Zones = nil }, "the document has no zones", "declare at least one under zones"},
		"no services":         {func(d *Document) { d.Services = nil }, "the document has no services", "declare at least one under services"},
		"too many secrets":    {func(d *Document) { d.Secrets = make([]Secret, maxSecrets+1) }, "has 1001 secrets, the maximum is 1000", remedyTooLong},
		"zone without region": {func(d *Document) { d.Zones[0].Region = "" }, `zone "edappally": region is missing`, "fill it in"},
		"zone time zone":      {func(d *Document) { d.Zones[0].TimeZone = "IST" }, `zone "edappally": timeZone "IST" is not valid`, remedyTimeZone},
		"name":                {func(d *Document) { d.Services[1].Name = "Pre press" }, `service "Pre press": name "Pre press" is not valid`, "lower-case"},
		"long name":           {func(d *Document) { d.Services[1].Name = strings.Repeat("a", 64) }, "is not valid", "use 1 to 63"},
		"duplicate":           {func(d *Document) { d.Workers[1].Name = "storefront-1" }, `worker "storefront-1" is declared twice`, remedyDuplicate},
		"no slots":            {func(d *Document) { d.Workers[0].Slots = 0 }, "slots is 0, the bound is 1", "raise it"},
		"many slots":          {func(d *Document) { d.Workers[0].Slots = maxCapacity + 1 }, "slots 100001 is out of bounds", "at most 100000"},
		"label":               {func(d *Document) { d.Workers[0].Labels = Labels{"": "day"} }, `labels ": day" is not valid`, "letters"},
		"labels":              {func(d *Document) { d.Zones[0].Labels = manyLabels(maxLabels + 1) }, "labels has too many entries", "remove"},
		"worker's service":    {func(d *Document) { d.Workers[0].Service = "shop" }, `worker "storefront-1" names service "shop", which is not declared`, "declare it under services"},
		"worker's zone":       {func(d *Document) { d.Workers[0].Zone = "kakkanad" }, `names zone "kakkanad"`, "declare it under zones"},
		"selector's service":  {func(d *Document) { d.Selectors[0].Service = "shop" }, `selector "day" names service "shop"`, "declare it under services"},
		"day":                 {func(d *Document) { d.Selectors[0].Windows[0].Days[0] = "Mon" }, `windows[0].days "[Mon]" is not valid`, remedyDay},
		"day twice":           {func(d *Document) { d.Selectors[0].Windows[0].Days = []string{"mon", "mon"} }, "windows[0].days has duplicate entries", "once"},
		"start":               {func(d *Document) { d.Selectors[0].Windows[0].From = "24:00" }, `windows[0].from "24:00" is not valid`, remedyClock},
		"end":                 {func(d *Document) { d.Selectors[0].Windows[0].To = "9:30" }, `windows[0].to "9:30" is not valid`, remedyClock},
		"no end":              {func(d *Document) { d.Selectors[0].Windows[0].To = "" }, "windows[0].to is missing", "fill it in"},
		"empty window":        {func(d *Document) { d.Selectors[0].Windows[0].To = "09:00" }, `windows[0].from "09:00 to 09:00" is not valid`, remedyEmptyWindow},
		"window's time zone":  {func(d *Document) { d.Selectors[0].Windows[0].TimeZone = "Local" }, `windows[0].timeZone "Local" is not valid`, remedyTimeZone},
		"windows":             {func(d *Document) { d.Selectors[0].Windows = make([]Window, maxWindows+1) }, "windows has too many entries", "remove"},
		"prefix":              {func(d *Document) { d.Routes[0].PathPrefix = "orders" }, `pathPrefix "orders" is not valid`, "begin with /"},
		"prefix end":          {func(d *Document) { d.Routes[0].PathPrefix = "/orders/" }, `pathPrefix "/orders/" is not valid`, "end without one"},
		"prefix dots":         {func(d *Document) { d.Routes[0].PathPrefix = "/a/../b" }, `pathPrefix "/a/../b" is not valid`, "leave out"},
		"prefix encoded":      {func(d *Document) { d.Routes[0].PathPrefix = "/a%2f" }, `pathPrefix "/a%2f" is not valid`, "leave out"},
		"host":                {func(d *Document) { d.Routes[0].Host = "Shop.example:80" }, `host "Shop.example:80" is not valid`, "without a port"},
		"method":              {func(d *Document) { d.Routes[0].Methods[0] = "post" }, `methods "post" is not valid`, "use GET"},
		"priority":            {func(d *Document) { d.Routes[0].Priority = "urgent" }, `priority "urgent" is not valid`, "use internal"},
		"no deadline":         {func(d *Document) { d.Routes[0].DeadlineMS = 0 }, "deadlineMs is 0, the bound is 1", "raise it"},
		"long deadline":       {func(d *Document) { d.Routes[0].DeadlineMS = 86_400_001 }, "deadlineMs is 86400001, the bound is 86400000", "lower it"},
		"route's service":     {func(d *Document) { d.Routes[0].Service = "shop" }, `route "orders" names service "shop"`, "declare it under services"},
		"route's selector":    {func(d *Document) { d.Routes[0].Selectors[0] = "night" }, `route "orders" names selector "night"`, "declare it under selectors"},
		"no selector":         {func(d *Document) { d.Routes[0].Selectors = nil }, "selectors is missing", "fill it in"},
		"empty selector":      {func(d *Document) { d.Routes[0].Selectors[0] = "" }, `selectors "" is not valid`, "use 1 to 63"},
		"other's selector":    {func(d *Document) { d.Routes[0].Selectors[0] = "press" }, `names selector "press" of service "prepress"`, "route's own service"},
		"route's secret":      {func(d *Document) { d.Secrets = nil }, `route "orders" names secret "till"`, "declare it under secrets"},
		"ambiguous":           {func(d *Document) { d.Routes[1].PathPrefix = "/orders" }, `routes "orders" and "prices" match the same requests`, "different"},
		"ambiguous, reversed": {func(d *Document) { d.Routes[1].PathPrefix = "/orders"; slices.Reverse(d.Routes) }, `routes "prices" and "orders" match the same requests`, "different"},
		"digest":              {func(d *Document) { d.Secrets[0].Digest = "0a" }, `digest "0a" is not valid`, remedyDigest},
		"digest with prefix":  {func(d *Document) { d.Secrets[0].Digest = "0x" + strings.Repeat("0a", 31) }, "is not valid", remedyDigest},
		"digest in capitals":  {func(d *Document) { d.Secrets[0].Digest = strings.Repeat("0A", 32) }, "is not valid", remedyDigest},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			document := validDocument()
			each.corrupt(document)
			findings := Validate(document)
			matches := slices.ContainsFunc(findings, func(f Finding) bool {
				return strings.Contains(f.What, each.what) && strings.Contains(f.Remedy, each.remedy)
			})
			must.True(t, matches, must.Sprintf("findings: %v", findings))
			must.Eq(t, findings, Validate(document))
			for _, finding := range findings {
				must.NotEq(t, "", finding.Remedy)
			}
		})
	}
}

func manyLabels(count int) Labels {
	labels := make(Labels, count)
	for index := range count {
		labels[fmt.Sprintf("key-%d", index)] = "value"
	}
	return labels
}

func TestValidateAcceptsRoutesThatDifferByMethodOrHost(t *testing.T) {
	document := validDocument()
	document.Routes[1].PathPrefix = "/orders"
	document.Routes[1].Methods = []string{"GET"}
	must.SliceEmpty(t, Validate(document))
	document.Routes[1].Methods = nil
	document.Routes[1].Host = "shop.example"
	must.SliceEmpty(t, Validate(document))
}

func TestFindingsAreBounded(t *testing.T) {
	document := validDocument()
	for index := range maxWorkers - len(document.Workers) {
		document.Workers = append(document.Workers, Worker{Name: fmt.Sprintf("w%d", index), Service: strings.Repeat("x", 1000)})
	}
	findings := Validate(document)
	must.Len(t, maxFindings, findings)
	must.Less(t, 1000, len(FindingsError(findings).Error()))
}

func BenchmarkValidate(b *testing.B) {
	document := validDocument()
	for index := range 850 {
		worker := document.Workers[0]
		worker.Name = fmt.Sprintf("storefront-x%d", index)
		document.Workers = append(document.Workers, worker)
	}
	for b.Loop() {
		if findings := Validate(document); findings != nil {
			b.Fatal(findings)
		}
	}
}
