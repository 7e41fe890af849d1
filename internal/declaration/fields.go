package declaration

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// The rules on single fields that the structs' own tags do not state.
const (
	ruleName     = "name"
	ruleLabels   = "labels"
	ruleTimeZone = "timezone"
	ruleDays     = "days"
	ruleClock    = "clock"
	ruleEnd      = "end"
	ruleSpan     = "span"
	rulePath     = "path"
	ruleHost     = "host"
	ruleMethods  = "methods"
	rulePriority = "priority"
	ruleRepeats  = "unique"
	ruleCount    = "count"
	ruleDigest   = "digest"
	ruleCapacity = "capacity"
)

// The bounds on what one item may hold.
const (
	maxLabels    = 32
	maxWindows   = 64
	maxSelected  = 32 // selectors of a route
	maxPathBytes = 1024
	maxCapacity  = 100_000 // slots or connections of a worker
)

const remedyDigest = "write the SHA-256 of the value as 64 lower-case hexadecimal digits"

// remedies says what to do about a broken rule.
var remedies = map[string]string{
	"required":    "fill it in",
	"min":         "raise it to the bound or above",
	"max":         "lower it to the bound or below",
	"len":         remedyDigest,
	"hexadecimal": remedyDigest,
	ruleDigest:    remedyDigest,
	ruleCapacity:  "write at most 100000",
	ruleName:      "use 1 to 63 lower-case letters, digits and inner hyphens",
	ruleLabels:    "use at most 32 labels whose keys and values are 1 to 63 letters, digits and inner . _ / -",
	ruleTimeZone:  remedyTimeZone,
	ruleDays:      remedyDay,
	ruleClock:     remedyClock,
	ruleEnd:       remedyClock,
	ruleSpan:      remedyEmpty,
	rulePath:      "begin with /, end without one, and leave out empty, . and .. segments and the characters ? # % and blanks",
	ruleHost:      "write a lower-case host name without a port",
	ruleMethods:   "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS",
	rulePriority:  "use internal, interactive, upload or batch",
	ruleRepeats:   "name each once",
	ruleCount:     "drop what is not used",
}

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$`)
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9]([-A-Za-z0-9._/]{0,61}[A-Za-z0-9])?$`)
	// The tag hexadecimal admits 0x and capitals, which no digest of ours has.
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern   = regexp.MustCompile(`^(/|(/[^/?#%\s\\[:cntrl:]]+)+)$`)
)

const maxHostBytes = 253

var methods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
}

var priorities = map[Priority]bool{
	PriorityInternal: true, PriorityInteractive: true, PriorityUpload: true, PriorityBatch: true,
}

// fieldFault is one broken rule of an item.
type fieldFault struct{ what, remedy string }

// fieldRules is safe for use by any number of goroutines.
var fieldRules = newFieldRules()

func newFieldRules() *validator.Validate {
	rules := validator.New(validator.WithRequiredStructEnabled())
	rules.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	rules.RegisterStructValidation(checkStruct(checkZone), Zone{})
	rules.RegisterStructValidation(checkStruct(checkService), Service{})
	rules.RegisterStructValidation(checkStruct(checkWorker), Worker{})
	rules.RegisterStructValidation(checkStruct(checkSelector), Selector{})
	rules.RegisterStructValidation(checkStruct(checkWindow), Window{})
	rules.RegisterStructValidation(checkStruct(checkRoute), Route{})
	rules.RegisterStructValidation(checkStruct(checkSecret), Secret{})
	return rules
}

// report notes that a field of the item at hand breaks a rule.
type report func(value any, field, rule string)

// unless reports a field that is filled in and does not hold. An empty one is
// reported by the tags where it is required.
func (r report) unless(holds bool, value any, field, rule string) {
	if !holds && fmt.Sprint(value) != "" {
		r(value, field, rule)
	}
}

func checkStruct[T any](check func(item T, report report)) validator.StructLevelFunc {
	return func(level validator.StructLevel) {
		check(level.Current().Interface().(T), func(value any, field, rule string) {
			level.ReportError(value, field, field, rule, "")
		})
	}
}

// fieldFaults returns the broken rules of one item.
func fieldFaults(item any) []fieldFault {
	broken, _ := fieldRules.Struct(item).(validator.ValidationErrors)
	faults := make([]fieldFault, 0, len(broken))
	for _, each := range broken {
		faults = append(faults, fieldFault{what: describe(each), remedy: remedies[each.Tag()]})
	}
	return faults
}

// describe says which field breaks which rule. The field's path starts with
// the type's name, which the finding names already.
func describe(broken validator.FieldError) string {
	_, field, _ := strings.Cut(broken.Namespace(), ".")
	switch broken.Tag() {
	case "required":
		return field + " is missing"
	case "min", "max":
		return fmt.Sprintf("%s is %v, the bound is %s", field, broken.Value(), broken.Param())
	case ruleRepeats:
		return field + " names one thing twice"
	case ruleCapacity:
		return fmt.Sprintf("%s %v is out of bounds", field, broken.Value())
	case ruleCount:
		return field + " has too many entries"
	default:
		return fmt.Sprintf("%s %s is not valid", field, quoted(broken.Value()))
	}
}

// quoted shows a value as it stands in the document, cut to a bounded length.
func quoted(value any) string {
	const shown = 80
	text := fmt.Sprintf("%q", fmt.Sprint(value))
	if len(text) > shown {
		return text[:shown] + `…"`
	}
	return text
}
