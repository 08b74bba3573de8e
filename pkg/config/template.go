package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Template is a parameterized part of the configuration. It is rendered once for each team that has parameters for it.
type Template struct {
	Description string          `json:"description,omitempty"`
	Parameters  []Parameter     `json:"parameters,omitempty"`
	Body        json.RawMessage `json:"body"` // a Fragment whose strings may contain ${name} placeholders
}

// Parameters holds the values of a team for one template.
type Parameters struct {
	Values map[string]any `json:"values"`
}

// Fragment is the part of a snapshot rendered from one template for one team.
type Fragment struct {
	Ranks    []Rank    `json:"ranks,omitempty"`
	Services []Service `json:"services,omitempty"`
	Routes   []Route   `json:"routes,omitempty"`
}

// maxFragmentBytes limits the total size of the values substituted into one fragment. Without a limit, a few hundred kilobytes of
// placeholders with long values would render to gigabytes.
const maxFragmentBytes = 1 << 20

var (
	placeholderPattern   = regexp.MustCompile(`\$\{([a-z][a-z0-9_]{0,62})\}`)
	placeholderCandidate = regexp.MustCompile(`\$\{[^}]*\}?`)
)

// templateWire is a Template whose parameters are decoded one by one, to report the errors of each.
type templateWire struct {
	Description string            `json:"description"`
	Parameters  []json.RawMessage `json:"parameters"`
	Body        json.RawMessage   `json:"body"`
}

// ParseTemplate decodes and validates a template and returns all errors. The body is rendered with sample values of the
// declared types, which detects unknown fields and type mismatches before a team uses the template.
func ParseTemplate(data json.RawMessage) (*Template, apierror.List) {
	var wire templateWire
	errs := decodeObject("", data, &wire)
	parameters, parameterErrs := decodeList[Parameter]("parameters", wire.Parameters)
	errs = append(errs, parameterErrs...)
	if len(errs) > 0 {
		return nil, errs
	}
	template := &Template{Description: wire.Description, Parameters: parameters, Body: wire.Body}
	if len(wire.Parameters) == 0 {
		template.Parameters = nil
	}
	if errs := template.checkDeclarations(); len(errs) > 0 {
		return nil, errs
	}
	if errs := template.renderSample(); len(errs) > 0 {
		return nil, errs
	}
	return template, nil
}

// ParseParameters decodes the parameters of a team. The values are checked when the template is rendered.
func ParseParameters(data json.RawMessage) (*Parameters, apierror.List) {
	parameters := &Parameters{}
	if errs := decodeObject("", data, parameters); len(errs) > 0 {
		return nil, errs
	}
	return parameters, nil
}

// checkDeclarations checks the parameter declarations, and that the body uses only declared parameters.
func (t *Template) checkDeclarations() apierror.List {
	var errs apierror.List
	if len(t.Parameters) > maxParameters {
		errs = append(errs, apierror.InvalidField("parameters", fmt.Sprintf("more than %d", maxParameters), "split the template"))
	}
	declared := map[string]bool{teamParameter: true}
	for i, p := range t.Parameters {
		field := fmt.Sprintf("parameters[%d]", i)
		if declared[p.Name] {
			errs = append(errs, apierror.InvalidField(field+".name", "duplicate declaration: "+quoted(p.Name), "remove one declaration; team is predefined"))
		}
		declared[p.Name] = true
		errs = append(errs, p.check(field)...)
	}
	var body any
	if err := json.Unmarshal(t.Body, &body); err != nil || body == nil {
		return append(errs, apierror.InvalidField("body", "missing", "add the ranks, services and routes"))
	}
	for _, text := range placeholdersIn(body) {
		match := placeholderPattern.FindStringSubmatch(text)
		if match == nil || match[0] != text {
			errs = append(errs, apierror.InvalidField("body", "malformed placeholder "+quoted(text), "write ${name}"))
			continue
		}
		if !declared[match[1]] {
			errs = append(errs, apierror.InvalidField("body", "undeclared parameter "+text, "declare it under parameters"))
		}
	}
	return errs
}

// placeholdersIn returns the distinct placeholders, well-formed or not, in all strings below node, sorted.
func placeholdersIn(node any) []string {
	found := make(map[string]bool)
	var visit func(any)
	visit = func(node any) {
		switch n := node.(type) {
		case map[string]any:
			for _, child := range n {
				visit(child)
			}
		case []any:
			for _, child := range n {
				visit(child)
			}
		case string:
			for _, match := range placeholderCandidate.FindAllString(n, -1) {
				found[match] = true
			}
		}
	}
	visit(node)
	return slices.Sorted(maps.Keys(found))
}

// renderSample renders the body with sample values and returns the errors.
func (t *Template) renderSample() apierror.List {
	values := map[string]any{teamParameter: "x"}
	for i := range t.Parameters {
		values[t.Parameters[i].Name] = t.Parameters[i].sampleValue()
	}
	_, errs := t.renderBody(values)
	return errs
}

// resolveValues validates the values of a team and adds defaults and the predefined team parameter.
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
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !known[name] {
			errs = append(errs, apierror.InvalidField("values."+shorten(name), "the template has no such parameter", "remove it or declare it in the template"))
		}
	}
	return resolved, errs
}

// Render returns the validated fragment for one team, or all errors in the values or in the rendered fragment.
func (t *Template) Render(team string, values map[string]any) (*Fragment, apierror.List) {
	resolved, errs := t.resolveValues(team, values)
	if len(errs) > 0 {
		return nil, errs
	}
	fragment, errs := t.renderBody(resolved)
	if len(errs) > 0 {
		return nil, errs
	}
	if errs := fragment.normalize(); len(errs) > 0 {
		return nil, errs
	}
	return fragment, nil
}

// fragmentWire is a Fragment whose entries are decoded one by one, to report the errors of each.
type fragmentWire struct {
	Ranks    []json.RawMessage `json:"ranks"`
	Services []json.RawMessage `json:"services"`
	Routes   []json.RawMessage `json:"routes"`
}

// renderBody substitutes resolved values into the body and decodes the result.
func (t *Template) renderBody(values map[string]any) (*Fragment, apierror.List) {
	var body any
	if err := json.Unmarshal(t.Body, &body); err != nil {
		return nil, apierror.List{apierror.InvalidField("body", "not valid JSON: "+shorten(err.Error()), "correct the template")}
	}
	remainingBytes := maxFragmentBytes
	body = substitute(body, values, &remainingBytes)
	if remainingBytes < 0 {
		return nil, apierror.List{apierror.InvalidField("body", "renders to more than 1 MiB", "split the template or shorten the values")}
	}
	rendered, err := json.Marshal(body)
	if err != nil {
		return nil, apierror.List{apierror.InvalidField("body", shorten(err.Error()), "correct the template")}
	}
	var wire fragmentWire
	errs := decodeObject("body", rendered, &wire)
	fragment := &Fragment{}
	var listErrs apierror.List
	fragment.Ranks, listErrs = decodeList[Rank]("body.ranks", wire.Ranks)
	errs = append(errs, listErrs...)
	fragment.Services, listErrs = decodeList[Service]("body.services", wire.Services)
	errs = append(errs, listErrs...)
	fragment.Routes, listErrs = decodeList[Route]("body.routes", wire.Routes)
	errs = append(errs, listErrs...)
	if len(errs) > 0 {
		return nil, errs
	}
	return fragment, nil
}

// substitute replaces placeholders in all strings below node. A string that consists of one placeholder becomes the typed
// value; inside a longer string, a placeholder becomes text. It subtracts the size of substituted strings from remainingBytes;
// once that is negative, further placeholders inside longer strings become empty.
func substitute(node any, values map[string]any, remainingBytes *int) any {
	switch n := node.(type) {
	case map[string]any:
		for key, child := range n {
			n[key] = substitute(child, values, remainingBytes)
		}
		return n
	case []any:
		for i, child := range n {
			n[i] = substitute(child, values, remainingBytes)
		}
		return n
	case string:
		return substituteString(n, values, remainingBytes)
	default:
		return node
	}
}

func substituteString(text string, values map[string]any, remainingBytes *int) any {
	if match := placeholderPattern.FindStringSubmatch(text); match != nil && match[0] == text {
		value := values[match[1]]
		if typed, ok := value.(string); ok {
			*remainingBytes -= len(typed)
		}
		return value
	}
	return placeholderPattern.ReplaceAllStringFunc(text, func(match string) string {
		if *remainingBytes < 0 {
			return ""
		}
		replacement := formatValue(values[match[2:len(match)-1]])
		*remainingBytes -= len(replacement)
		return replacement
	})
}

func formatValue(value any) string {
	if number, ok := value.(float64); ok {
		return strconv.FormatFloat(number, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

// normalize sets defaults, sorts the methods of routes, and validates each entry separately.
func (f *Fragment) normalize() apierror.List {
	var errs apierror.List
	for i := range f.Ranks {
		errs = append(errs, f.Ranks[i].validate()...)
	}
	for i := range f.Services {
		f.Services[i] = f.Services[i].withDefaults()
		errs = append(errs, f.Services[i].validate()...)
	}
	for i := range f.Routes {
		slices.Sort(f.Routes[i].Methods)
		errs = append(errs, f.Routes[i].validate()...)
	}
	return errs
}

// prefixFields adds the key of an entity to the fields of its errors, unless they already start with it.
func prefixFields(key string, errs apierror.List) apierror.List {
	for _, e := range errs {
		if strings.HasPrefix(e.Field, key) {
			continue
		}
		e.Field = strings.TrimSuffix(key+": "+e.Field, ": ")
	}
	return errs
}
