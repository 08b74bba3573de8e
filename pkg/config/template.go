package config

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"sort"
	"strconv"
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

// teamParameter is defined for every team without a declaration.
const teamParameter = "team"

// Parameter declares one parameter of a template.
type Parameter struct {
	Name     string        `json:"name"`
	Type     ParameterType `json:"type"`
	Required bool          `json:"required,omitempty"`
	Default  any           `json:"default,omitempty"`
	Min      *float64      `json:"min,omitempty"` // smallest value of integer and number
	Max      *float64      `json:"max,omitempty"` // largest value of integer and number
	Enum     []any         `json:"enum,omitempty"`
}

// Template is a configuration with parameters. It is rendered once for each team that has parameters for it.
type Template struct {
	Description string          `json:"description,omitempty"`
	Parameters  []Parameter     `json:"parameters,omitempty"`
	Body        json.RawMessage `json:"body"` // a Fragment in which strings may hold ${name}
}

// Parameters are the values of a team for one template.
type Parameters struct {
	Values map[string]any `json:"values"`
}

// Fragment is the part of a snapshot that one template yields for one team.
type Fragment struct {
	Ranks    []Rank    `json:"ranks,omitempty"`
	Services []Service `json:"services,omitempty"`
	Routes   []Route   `json:"routes,omitempty"`
}

var placeholder = regexp.MustCompile(`\$\{([a-z][a-z0-9_]*)\}`)

// checkDeclarations checks the declarations and that the body uses only declared parameters.
func (t *Template) checkDeclarations() apierror.List {
	var errs apierror.List
	declared := map[string]bool{teamParameter: true}
	for i, p := range t.Parameters {
		field := fmt.Sprintf("parameters[%d]", i)
		if !placeholder.MatchString("${" + p.Name + "}") {
			errs = append(errs, apierror.InvalidField(field+".name", "invalid name "+strconv.Quote(p.Name), "use lower-case letters, digits and _"))
		}
		if declared[p.Name] {
			errs = append(errs, apierror.InvalidField(field+".name", "declared twice: "+p.Name, "remove one declaration"))
		}
		declared[p.Name] = true
		errs = append(errs, p.check(field)...)
	}
	for _, match := range placeholder.FindAllSubmatch(t.Body, -1) {
		if name := string(match[1]); !declared[name] {
			errs = append(errs, apierror.InvalidField("body", "undeclared parameter ${"+name+"}", "declare it under parameters"))
		}
	}
	return errs
}

func (p *Parameter) check(field string) apierror.List {
	var errs apierror.List
	switch p.Type {
	case TypeString, TypeInteger, TypeNumber, TypeBoolean:
	default:
		return append(errs, apierror.InvalidField(field+".type", "unknown type "+strconv.Quote(string(p.Type)), "use string, integer, number or boolean"))
	}
	if p.Default != nil {
		errs = append(errs, p.checkValue(field+".default", p.Default)...)
	}
	if p.Default == nil && !p.Required {
		errs = append(errs, apierror.InvalidField(field, "neither required nor with a default", "set required or default"))
	}
	if p.Min != nil && p.Max != nil && *p.Min > *p.Max {
		errs = append(errs, apierror.InvalidField(field+".min", "greater than max", "swap min and max"))
	}
	return errs
}

// checkValue checks a value against type, range and enum.
func (p *Parameter) checkValue(field string, value any) apierror.List {
	if !p.hasType(value) {
		return apierror.List{apierror.InvalidField(field, fmt.Sprintf("%v is not of type %s", value, p.Type), "give a value of that type")}
	}
	if number, ok := value.(float64); ok {
		if p.Min != nil && number < *p.Min {
			return apierror.List{apierror.InvalidField(field, fmt.Sprintf("%v is below %v", number, *p.Min), "raise it")}
		}
		if p.Max != nil && number > *p.Max {
			return apierror.List{apierror.InvalidField(field, fmt.Sprintf("%v is above %v", number, *p.Max), "lower it")}
		}
	}
	if len(p.Enum) == 0 {
		return nil
	}
	for _, allowed := range p.Enum {
		if allowed == value {
			return nil
		}
	}
	return apierror.List{apierror.InvalidField(field, fmt.Sprintf("%v is not allowed", value), fmt.Sprintf("use one of %v", p.Enum))}
}

func (p *Parameter) hasType(value any) bool {
	switch v := value.(type) {
	case string:
		return p.Type == TypeString
	case bool:
		return p.Type == TypeBoolean
	case float64:
		return p.Type == TypeNumber || p.Type == TypeInteger && v == math.Trunc(v)
	default:
		return false
	}
}

// resolveValues checks the values of a team and fills in defaults.
func (t *Template) resolveValues(team string, values map[string]any) (map[string]any, apierror.List) {
	var errs apierror.List
	resolved := map[string]any{teamParameter: team}
	known := make(map[string]bool)
	for i := range t.Parameters {
		p := &t.Parameters[i]
		known[p.Name] = true
		value, given := values[p.Name]
		switch {
		case given:
			errs = append(errs, p.checkValue("values."+p.Name, value)...)
			resolved[p.Name] = value
		case p.Required:
			errs = append(errs, apierror.InvalidField("values."+p.Name, "missing", "give a value; the template requires it"))
		default:
			resolved[p.Name] = p.Default
		}
	}
	for _, name := range sortedKeys(values) {
		if !known[name] {
			errs = append(errs, apierror.InvalidField("values."+name, "the template has no such parameter", "remove it or declare it in the template"))
		}
	}
	return resolved, errs
}

// render returns the fragment for one team.
func (t *Template) render(team string, values map[string]any) (*Fragment, apierror.List) {
	resolved, errs := t.resolveValues(team, values)
	if len(errs) > 0 {
		return nil, errs
	}
	var body any
	if err := json.Unmarshal(t.Body, &body); err != nil {
		return nil, apierror.List{apierror.InvalidField("body", "not valid JSON: "+err.Error(), "correct the template")}
	}
	rendered, err := json.Marshal(substitute(body, resolved))
	if err != nil {
		return nil, apierror.List{apierror.InvalidField("body", err.Error(), "correct the template")}
	}
	fragment := &Fragment{}
	if err := decodeStrict(rendered, fragment); err != nil {
		return nil, apierror.List{apierror.InvalidField("body", err.Error(), "use the fields ranks, services and routes as documented")}
	}
	return fragment, nil
}

// substitute replaces parameters in all strings below node. A string that is one placeholder becomes the typed value;
// inside a longer string the placeholder becomes text.
func substitute(node any, values map[string]any) any {
	switch n := node.(type) {
	case map[string]any:
		for key, child := range n {
			n[key] = substitute(child, values)
		}
		return n
	case []any:
		for i, child := range n {
			n[i] = substitute(child, values)
		}
		return n
	case string:
		return substituteString(n, values)
	default:
		return node
	}
}

func substituteString(text string, values map[string]any) any {
	if match := placeholder.FindString(text); match == text && text != "" {
		return values[strings.Trim(match, "${}")]
	}
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		return valueText(values[strings.Trim(match, "${}")])
	})
}

func valueText(value any) string {
	if number, ok := value.(float64); ok {
		return strconv.FormatFloat(number, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
