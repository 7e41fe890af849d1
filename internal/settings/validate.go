package settings

import (
	"errors"
	"net"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"sliphead/internal/fault"
)

// validate checks all settings. The error names the first invalid one and its location.
func (s *Settings) validate(lines locator) error {
	if err := s.checkFields(lines); err != nil {
		return err
	}
	if err := s.checkWorker(lines); err != nil {
		return err
	}
	return s.Security.check(lines)
}

// checkFields applies the rules of the field tags.
func (s *Settings) checkFields(lines locator) error {
	var violations validator.ValidationErrors
	err := newValidator().Struct(s)
	if err == nil {
		return nil
	}
	if !errors.As(err, &violations) {
		return fault.Wrap(err, fault.Internal, "report this defect", "validate the settings")
	}
	first := violations[0]
	_, key, _ := strings.Cut(first.Namespace(), ".")
	return fault.New(fault.Settings, remedyFor(first), "%s: %s is %s", lines.locate(key), key, quoted(first.Value()))
}

// checkWorker rejects a worker without an inbound listener and an inbound listener without a
// worker.
func (s *Settings) checkWorker(lines locator) error {
	if s.Worker != nil && s.Listen.Inbound == "" {
		return fault.New(fault.Settings, "add listen.inbound, the address for requests to the worker",
			"%s: a node with a worker has no inbound listener", lines.locate("listen"))
	}
	if s.Worker == nil && s.Listen.Inbound != "" {
		return fault.New(fault.Settings, "remove listen.inbound, or name the worker",
			"%s: a node without a worker has an inbound listener", lines.locate("listen.inbound"))
	}
	return nil
}

// check rejects anything but either plain alone or all key files.
func (s Security) check(lines locator) error {
	files := []string{s.CertificateFile, s.KeyFile, s.AuthorityFile, s.DatagramKeyFile}
	named := 0
	for _, file := range files {
		if file != "" {
			named++
		}
	}
	if s.Plain && named > 0 {
		return fault.New(fault.Settings, "remove security.plain to use the keys, or remove the keys to run tests without them",
			"%s: security.plain is set together with key files", lines.locate("security"))
	}
	if !s.Plain && named < len(files) {
		return fault.New(fault.Settings, "name certificateFile, keyFile, authorityFile and datagramKeyFile, or set plain: true in a test",
			"%s: security names %d of %d key files", lines.locate("security"), named, len(files))
	}
	return nil
}

// newValidator returns a validator with the rules of this package that names fields as in the
// file.
func newValidator() *validator.Validate {
	rules := validator.New(validator.WithRequiredStructEnabled())
	rules.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return name
	})
	rules.RegisterCustomTypeFunc(func(value reflect.Value) any {
		return int64(value.Interface().(Duration).Duration)
	}, Duration{})
	for name, rule := range map[string]validator.Func{
		"address":  isAddress,
		"routable": isRoutable,
		"nodeName": isNodeName,
		"atLeast":  func(field validator.FieldLevel) bool { return field.Field().Int() >= parameter(field) },
		"atMost":   func(field validator.FieldLevel) bool { return field.Field().Int() <= parameter(field) },
	} {
		if err := rules.RegisterValidation(name, rule); err != nil {
			panic(err)
		}
	}
	return rules
}

// parameter returns the duration of a rule, in nanoseconds.
func parameter(field validator.FieldLevel) int64 {
	bound, err := time.ParseDuration(field.Param())
	if err != nil {
		panic(err)
	}
	return int64(bound)
}

// isAddress accepts an IP with a port, but no host name.
func isAddress(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}

// isRoutable accepts an address to which other machines can connect.
func isRoutable(field validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(field.Field().String())
	return err == nil && !address.Addr().IsUnspecified() && address.Port() != 0
}

// isNodeName accepts letters, digits, dots and hyphens, as in a DNS name, because certificates
// authenticate the name.
func isNodeName(field validator.FieldLevel) bool {
	return !strings.ContainsFunc(field.Field().String(), func(character rune) bool {
		switch {
		case character >= 'a' && character <= 'z', character >= 'A' && character <= 'Z':
			return false
		case character >= '0' && character <= '9', character == '-', character == '.':
			return false
		}
		return true
	})
}

// remedyFor returns the remedy for a violated rule.
func remedyFor(violation validator.FieldError) string {
	switch violation.Tag() {
	case "required", "required_with":
		return "set " + violation.Field()
	case "address":
		return "write an IP and a port, such as 10.0.0.5:7000"
	case "routable":
		return "advertise an IP and port that peers can reach, not the wildcard address or port 0"
	case "nodeName":
		return "use letters, digits, dots and hyphens only"
	case "http_url":
		return "write a URL that starts with http:// or https://"
	case "oneof":
		return "write one of " + violation.Param()
	case "startswith":
		return "start it with " + violation.Param()
	case "min", "atLeast":
		return "use at least " + violation.Param()
	case "max", "atMost":
		return "use at most " + violation.Param()
	}
	return "follow the rule " + violation.Tag() + " " + violation.Param()
}

// quoted formats a value as in the file.
func quoted(value any) string {
	switch typed := value.(type) {
	case string:
		return strconv.Quote(typed)
	case Profile:
		return strconv.Quote(string(typed))
	case Duration:
		return typed.String()
	case int64:
		return time.Duration(typed).String()
	case int:
		return itoa(typed)
	}
	return "wrong"
}

// itoa returns the decimal digits of a number.
func itoa(number int) string { return strconv.Itoa(number) }

// parentOf returns the parent of a key, "" for a top-level key.
func parentOf(key string) string {
	at := strings.LastIndexAny(key, ".[")
	if at < 0 {
		return ""
	}
	return key[:at]
}

// HostOf returns the IP of a valid address.
func HostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
