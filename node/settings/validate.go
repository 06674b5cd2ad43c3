package settings

import (
	"net/netip"
	"net/url"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/auburnrelay/auburnrelay/core/sheet"
)

var validate = newValidator()

// Validate returns all invalid and missing fields as Faults, or nil.
func (s *Settings) Validate() error {
	if faults := s.check(nil); len(faults) > 0 {
		return faults
	}
	return nil
}

// check returns the faults of all fields except those whose path is in skip.
func (s *Settings) check(skip map[string]bool) Faults {
	found := append(s.checkFields(), s.checkTiming()...)
	var faults Faults
	for _, fault := range found {
		if !skip[fault.Path] {
			faults = append(faults, fault)
		}
	}
	return faults
}

func (s *Settings) checkFields() Faults {
	var fieldErrors validator.ValidationErrors
	if !errors.As(validate.Struct(s), &fieldErrors) {
		return nil
	}
	var faults Faults
	for _, field := range fieldErrors {
		_, path, _ := strings.Cut(field.Namespace(), ".")
		faults = append(faults, Fault{Path: path, Problem: describeFieldError(field)})
	}
	return faults
}

// checkTiming checks durations that depend on each other.
func (s *Settings) checkTiming() Faults {
	var faults Faults
	if s.Timing.Promise < 3*s.Timing.Ask {
		faults = append(faults, Fault{Path: "timing.promise", Problem: "must be at least three times timing.ask"})
	}
	if s.Timing.Lease < 3*s.Timing.Tick {
		faults = append(faults, Fault{Path: "timing.lease", Problem: "must be at least three times timing.tick"})
	}
	if s.Account.Silence < 3*s.Account.ReportInterval {
		faults = append(faults, Fault{Path: "account.silence", Problem: "must be at least three times account.report_interval"})
	}
	if s.Timing.Lease < s.Timing.Promise {
		faults = append(faults, Fault{Path: "timing.lease", Problem: "must be at least timing.promise"})
	}
	return faults
}

func describeFieldError(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "missing"
	case "name":
		return "must have letters, digits, '.', '_' and '-' only, start with a letter or digit, and have at most 64 bytes"
	case "ipport":
		return "must be an IP address with a port, such as 10.0.0.7:7000"
	case "specified":
		return "must be an address that others can reach, not 0.0.0.0 or [::]"
	case "httpurl":
		return "must be a URL with http or https and a host"
	case "oneof":
		return "must be one of: " + field.Param()
	case "gt":
		return "must be greater than " + field.Param()
	case "gte":
		return "must be at least " + field.Param()
	case "lt":
		return "must be less than " + field.Param()
	default:
		return "must be at most " + field.Param()
	}
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("toml") })
	rules := map[string]func(string) bool{
		"name":      sheet.ValidName,
		"ipport":    isIPPort,
		"specified": isSpecified,
		"httpurl":   isHTTPURL,
	}
	for name, rule := range rules {
		check := func(field validator.FieldLevel) bool { return rule(field.Field().String()) }
		if err := v.RegisterValidation(name, check); err != nil {
			panic(errors.NewAssertionErrorWithWrappedErrf(err, "register rule %q", name))
		}
	}
	return v
}

func isIPPort(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

func isSpecified(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && !address.Addr().IsUnspecified()
}

func isHTTPURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}
