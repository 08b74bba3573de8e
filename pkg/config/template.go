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

// maxFragmentBytes limits the rendered strings of one fragment. Without it a few hundred kilobytes of placeholders with
// long values would render to gigabytes.
const maxFragmentBytes = 1 << 20

var (
	placeholder = regexp.MustCompile(`\$\{([a-z][a-z0-9_]{0,62})\}`)
	opening     = regexp.MustCompile(`\$\{[^}]*\}?`)
)

// templateWire is a Template whose parameters are decoded one by one.
type templateWire struct {
	Description string            `json:"description"`
	Parameters  []json.RawMessage `json:"parameters"`
	Body        json.RawMessage   `json:"body"`
}

// ParseTemplate decodes and checks a template and returns every fault. The body is rendered on trial with values of the
// declared types, which finds unknown fields and wrong types before a team uses the template.
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
	if errs := template.renderOnTrial(); len(errs) > 0 {
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

// checkDeclarations checks the declarations and that the body uses only declared parameters.
func (t *Template) checkDeclarations() apierror.List {
	var errs apierror.List
	if len(t.Parameters) > maxParameters {
		errs = append(errs, apierror.InvalidField("parameters", fmt.Sprintf("more than %d", maxParameters), "split the template"))
	}
	declared := map[string]bool{teamParameter: true}
	for i, p := range t.Parameters {
		field := fmt.Sprintf("parameters[%d]", i)
		if declared[p.Name] {
			errs = append(errs, apierror.InvalidField(field+".name", "declared twice: "+quoted(p.Name), "remove one declaration; team is always defined"))
		}
		declared[p.Name] = true
		errs = append(errs, p.check(field)...)
	}
	var body any
	if err := json.Unmarshal(t.Body, &body); err != nil || body == nil {
		return append(errs, apierror.InvalidField("body", "missing", "add the ranks, services and routes"))
	}
	for _, text := range placeholdersIn(body) {
		match := placeholder.FindStringSubmatch(text)
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

// placeholdersIn returns the distinct placeholders in all strings below node, sorted.
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
			for _, match := range opening.FindAllString(n, -1) {
				found[match] = true
			}
		}
	}
	visit(node)
	return slices.Sorted(maps.Keys(found))
}

func (t *Template) renderOnTrial() apierror.List {
	values := map[string]any{teamParameter: "x"}
	for i := range t.Parameters {
		values[t.Parameters[i].Name] = t.Parameters[i].sample()
	}
	_, errs := t.substituteAll(values)
	return errs
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
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !known[name] {
			errs = append(errs, apierror.InvalidField("values."+shorten(name), "the template has no such parameter", "remove it or declare it in the template"))
		}
	}
	return resolved, errs
}

// Render returns the checked fragment for one team, or every fault in the values and in the fragment.
func (t *Template) Render(team string, values map[string]any) (*Fragment, apierror.List) {
	resolved, errs := t.resolveValues(team, values)
	if len(errs) > 0 {
		return nil, errs
	}
	fragment, errs := t.substituteAll(resolved)
	if len(errs) > 0 {
		return nil, errs
	}
	if errs := fragment.normalize(); len(errs) > 0 {
		return nil, errs
	}
	return fragment, nil
}

// fragmentWire is a Fragment whose entries are decoded one by one.
type fragmentWire struct {
	Ranks    []json.RawMessage `json:"ranks"`
	Services []json.RawMessage `json:"services"`
	Routes   []json.RawMessage `json:"routes"`
}

// substituteAll puts resolved values into the body and decodes the result.
func (t *Template) substituteAll(values map[string]any) (*Fragment, apierror.List) {
	var body any
	if err := json.Unmarshal(t.Body, &body); err != nil {
		return nil, apierror.List{apierror.InvalidField("body", "not valid JSON: "+shorten(err.Error()), "correct the template")}
	}
	budget := maxFragmentBytes
	body = substitute(body, values, &budget)
	if budget < 0 {
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

// substitute replaces parameters in all strings below node. A string that is one placeholder becomes the typed value;
// inside a longer string the placeholder becomes text. It stops replacing when the budget of bytes is spent.
func substitute(node any, values map[string]any, budget *int) any {
	switch n := node.(type) {
	case map[string]any:
		for key, child := range n {
			n[key] = substitute(child, values, budget)
		}
		return n
	case []any:
		for i, child := range n {
			n[i] = substitute(child, values, budget)
		}
		return n
	case string:
		return substituteString(n, values, budget)
	default:
		return node
	}
}

func substituteString(text string, values map[string]any, budget *int) any {
	if match := placeholder.FindStringSubmatch(text); match != nil && match[0] == text {
		value := values[match[1]]
		if typed, ok := value.(string); ok {
			*budget -= len(typed)
		}
		return value
	}
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		if *budget < 0 {
			return ""
		}
		replacement := valueText(values[match[2:len(match)-1]])
		*budget -= len(replacement)
		return replacement
	})
}

func valueText(value any) string {
	if number, ok := value.(float64); ok {
		return strconv.FormatFloat(number, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

// normalize fills in defaults, sorts the methods of routes, and checks each entry on its own.
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

// prefixed puts the entity that errors were found in before their fields.
func prefixed(key string, errs apierror.List) apierror.List {
	for _, e := range errs {
		if strings.HasPrefix(e.Field, key) {
			continue
		}
		e.Field = strings.TrimSuffix(key+": "+e.Field, ": ")
	}
	return errs
}
