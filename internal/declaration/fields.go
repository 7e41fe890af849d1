package declaration

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Validation rules for single fields that are not expressed as struct tags.
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
	ruleUnique   = "unique"
	ruleCount    = "count"
	ruleDigest   = "digest"
	ruleCapacity = "capacity"
)

// Limits on the contents of one item.
const (
	maxLabels         = 32
	maxWindows        = 64
	maxRouteSelectors = 32 // selectors per route
	maxPathBytes      = 1024
	maxCapacity       = 100_000 // slots or connections per worker
)

const remedyDigest = "write the SHA-256 of the value as 64 lower-case hexadecimal digits"

// remedies maps each rule to the remedy shown when it is violated.
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
	ruleSpan:      remedyEmptyWindow,
	rulePath:      "begin with /, end without one, and leave out empty, . and .. segments and the characters ? # % and blanks",
	ruleHost:      "write a lower-case host name without a port",
	ruleMethods:   "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS",
	rulePriority:  "use internal, interactive, upload or batch",
	ruleUnique:    "list each entry once",
	ruleCount:     "remove unused entries",
}

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$`)
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9]([-A-Za-z0-9._/]{0,61}[A-Za-z0-9])?$`)
	// The validator tag "hexadecimal" also accepts a 0x prefix and capitals, which
	// digests must not contain.
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

// violation is a rule that an item violates, and the remedy.
type violation struct{ what, remedy string }

// fieldRules validates single items. It is safe for concurrent use.
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

// report records that a field of the item being checked violates a rule.
type report func(value any, field, rule string)

// require reports a field that is not empty and not valid. Empty fields are
// reported by the tag "required" where a value is needed.
func (r report) require(valid bool, value any, field, rule string) {
	if !valid && fmt.Sprint(value) != "" {
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

// violations returns the rules that one item violates.
func violations(item any) []violation {
	violated, _ := fieldRules.Struct(item).(validator.ValidationErrors)
	found := make([]violation, 0, len(violated))
	for _, each := range violated {
		found = append(found, violation{what: describeViolation(each), remedy: remedies[each.Tag()]})
	}
	return found
}

// describeViolation returns a message about the field and the rule that it violates.
// The type's name is cut from the field's path because the finding contains it already.
func describeViolation(broken validator.FieldError) string {
	_, field, _ := strings.Cut(broken.Namespace(), ".")
	switch broken.Tag() {
	case "required":
		return field + " is missing"
	case "min", "max":
		return fmt.Sprintf("%s is %v, the bound is %s", field, broken.Value(), broken.Param())
	case ruleUnique:
		return field + " has duplicate entries"
	case ruleCapacity:
		return fmt.Sprintf("%s %v is out of bounds", field, broken.Value())
	case ruleCount:
		return field + " has too many entries"
	default:
		return fmt.Sprintf("%s %s is not valid", field, quoted(broken.Value()))
	}
}

// quoted returns a value in quotes, truncated to a bounded length.
func quoted(value any) string {
	const maxBytes = 80
	text := fmt.Sprintf("%q", fmt.Sprint(value))
	if len(text) > maxBytes {
		return text[:maxBytes] + `…"`
	}
	return text
}
