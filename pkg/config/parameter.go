package config

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// ParameterType is the JSON type of a template parameter.
type ParameterType string

// The types of parameters.
const (
	TypeString  ParameterType = "string"
	TypeInteger ParameterType = "integer"
	TypeNumber  ParameterType = "number"
	TypeBoolean ParameterType = "boolean"
)

// teamParameter is predefined in every template; its value is the name of the team.
const teamParameter = "team"

const (
	maxParameters  = 256
	maxValueBytes  = 1024    // of a string value
	maxSafeInteger = 1 << 53 // a float64 cannot represent all larger integers exactly
)

// Parameter declares one parameter of a template.
type Parameter struct {
	Name     string        `json:"name"` // lower-case letters, digits and _
	Type     ParameterType `json:"type"`
	Required bool          `json:"required,omitempty"`
	Default  any           `json:"default,omitempty"`
	Min      *float64      `json:"min,omitempty"` // inclusive; for integer and number only
	Max      *float64      `json:"max,omitempty"` // inclusive; for integer and number only
	Enum     []any         `json:"enum,omitempty"`
}

var parameterNamePattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)

func (p *Parameter) check(field string) apierror.List {
	var errs apierror.List
	if !parameterNamePattern.MatchString(p.Name) {
		errs = append(errs, apierror.InvalidField(field+".name", "invalid name "+quoted(p.Name), "use 1 to 63 lower-case letters, digits and _, starting with a letter"))
	}
	switch p.Type {
	case TypeString, TypeInteger, TypeNumber, TypeBoolean:
	default:
		return append(errs, apierror.InvalidField(field+".type", "unknown type "+quoted(string(p.Type)), "use string, integer, number or boolean"))
	}
	errs = append(errs, p.checkRange(field)...)
	for i, allowed := range p.Enum {
		if !p.hasType(allowed) {
			errs = append(errs, apierror.InvalidField(fmt.Sprintf("%s.enum[%d]", field, i), describeValue(allowed)+" is not of type "+string(p.Type), "give a value of that type"))
		}
	}
	if p.Default != nil {
		errs = append(errs, p.checkValue(field+".default", p.Default)...)
	}
	if p.Default == nil && !p.Required {
		errs = append(errs, apierror.InvalidField(field, "neither required nor given a default", "set required or default"))
	}
	if p.Default != nil && p.Required {
		errs = append(errs, apierror.InvalidField(field, "both required and given a default", "remove one of them"))
	}
	return errs
}

func (p *Parameter) checkRange(field string) apierror.List {
	if p.Min == nil && p.Max == nil {
		return nil
	}
	if p.Type != TypeInteger && p.Type != TypeNumber {
		return apierror.List{apierror.InvalidField(field, "min and max apply to integer and number only", "remove them")}
	}
	if p.Min != nil && p.Max != nil && *p.Min > *p.Max {
		return apierror.List{apierror.InvalidField(field+".min", "greater than max", "swap min and max")}
	}
	return nil
}

// checkValue checks a value against type, range and enum.
func (p *Parameter) checkValue(field string, value any) apierror.List {
	if !p.hasType(value) {
		return apierror.List{apierror.InvalidField(field, describeValue(value)+" is not of type "+string(p.Type), "give a value of that type")}
	}
	if text, ok := value.(string); ok && len(text) > maxValueBytes {
		return apierror.List{apierror.InvalidField(field, fmt.Sprintf("longer than %d bytes", maxValueBytes), "shorten it")}
	}
	if number, ok := value.(float64); ok {
		if p.Min != nil && number < *p.Min {
			return apierror.List{apierror.InvalidField(field, fmt.Sprintf("%v is below %v", number, *p.Min), "raise it")}
		}
		if p.Max != nil && number > *p.Max {
			return apierror.List{apierror.InvalidField(field, fmt.Sprintf("%v is above %v", number, *p.Max), "lower it")}
		}
	}
	return p.checkEnum(field, value)
}

func (p *Parameter) checkEnum(field string, value any) apierror.List {
	if len(p.Enum) == 0 {
		return nil
	}
	allowed := make([]string, 0, len(p.Enum))
	for _, candidate := range p.Enum {
		if p.hasType(candidate) && candidate == value {
			return nil
		}
		allowed = append(allowed, describeValue(candidate))
	}
	return apierror.List{apierror.InvalidField(field, describeValue(value)+" is not allowed", "use one of "+shorten(strings.Join(allowed, ", ")))}
}

// hasType reports whether a decoded JSON value has the parameter's type. Every integer is also a number.
func (p *Parameter) hasType(value any) bool {
	switch v := value.(type) {
	case string:
		return p.Type == TypeString
	case bool:
		return p.Type == TypeBoolean
	case float64:
		return p.Type == TypeNumber || p.Type == TypeInteger && v == math.Trunc(v) && math.Abs(v) <= maxSafeInteger
	default:
		return false
	}
}

// sampleValue returns a value of the parameter's type for renderSample. It may be outside range and enum.
func (p *Parameter) sampleValue() any {
	switch p.Type {
	case TypeString:
		return "x"
	case TypeBoolean:
		return false
	default:
		return 1.0
	}
}

// describeValue formats a decoded JSON value for an error message.
func describeValue(value any) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case string:
		return quoted(v)
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	default:
		return formatValue(v)
	}
}
