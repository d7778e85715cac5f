package setting

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
)

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.SplitN(f.Tag.Get("json"), ",", 2)[0]
	})
	return v
}

// Check validates the fields of a struct by their validate tags and returns
// one error that names each invalid field, its value and the allowed range.
func Check(value any) error {
	err := structValidator.Struct(value)
	if err == nil {
		return nil
	}
	failures, ok := err.(validator.ValidationErrors)
	if !ok {
		return eris.Wrap(err, "check")
	}
	lines := make([]string, 0, len(failures))
	for _, f := range failures {
		lines = append(lines, describeFailure(f))
	}
	return eris.New(strings.Join(lines, "; "))
}

func describeFailure(f validator.FieldError) string {
	_, path, _ := strings.Cut(f.Namespace(), ".")
	if confidential[f.Field()] {
		return fmt.Sprintf("field %q has a value that is not shown, must be %s", path, allowedValues(f))
	}
	return fmt.Sprintf("field %q has value %v, must be %s", path, f.Value(), allowedValues(f))
}

// confidential lists the fields whose values must not appear in errors or logs.
var confidential = map[string]bool{"secret": true, "operator_digest": true, "digest": true}

func allowedValues(f validator.FieldError) string {
	unit := ""
	if f.Kind() == reflect.String {
		unit = " characters long"
	}
	switch f.Tag() {
	case "required":
		return "present and not empty"
	case "min", "gte":
		return "at least " + f.Param() + unit
	case "max", "lte":
		return "at most " + f.Param() + unit
	case "gt":
		return "greater than " + f.Param()
	case "oneof":
		return "one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "hostname_port", "tcp_addr":
		return "an address of the form IP:PORT"
	case "ip":
		return "an IP address"
	case "hexadecimal":
		return "hexadecimal digits"
	case "len":
		return "exactly " + f.Param() + unit
	default:
		return strings.TrimSpace(f.Tag() + " " + f.Param())
	}
}
