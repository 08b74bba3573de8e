package config

import (
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

type ownedFragment struct {
	*Fragment
	owner string
}

// render builds the snapshot of a set of entities. It returns every error it finds.
func render(entities map[string]*EntityState) (*Snapshot, apierror.List) {
	templates, errs := decodeTemplates(entities)
	var fragments []ownedFragment
	for _, key := range sortedKeys(entities) {
		entity := entities[key]
		if entity.Entity.Kind != KindParameters || entity.Retired() {
			continue
		}
		fragment, fragmentErrs := renderParameters(entity, templates)
		errs = append(errs, fragmentErrs...)
		if fragment != nil {
			fragments = append(fragments, ownedFragment{Fragment: fragment, owner: key})
		}
	}
	snapshot, snapshotErrs := newSnapshot(fragments)
	if len(errs) > 0 {
		// References into fragments that failed to render would only repeat those errors.
		return nil, errs
	}
	return snapshot, snapshotErrs
}

func decodeTemplates(entities map[string]*EntityState) (map[string]*Template, apierror.List) {
	templates := make(map[string]*Template)
	var errs apierror.List
	for _, key := range sortedKeys(entities) {
		entity := entities[key]
		if entity.Entity.Kind != KindTemplate || entity.Retired() {
			continue
		}
		template := &Template{}
		if err := decodeStrict(entity.Current().Payload, template); err != nil {
			errs = append(errs, apierror.InvalidField(key, "not a valid template: "+err.Error(), "correct the template"))
			continue
		}
		errs = append(errs, within(key, template.checkDeclarations())...)
		templates[entity.Entity.Name] = template
	}
	return templates, errs
}

func renderParameters(entity *EntityState, templates map[string]*Template) (*Fragment, apierror.List) {
	key := entity.Entity.String()
	team, templateName, _ := strings.Cut(entity.Entity.Name, "/")
	template, ok := templates[templateName]
	if !ok {
		return nil, apierror.List{apierror.InvalidField(key, "template "+templateName+" does not exist", "publish the template, or retire these parameters first")}
	}
	parameters := &Parameters{}
	if err := decodeStrict(entity.Current().Payload, parameters); err != nil {
		return nil, apierror.List{apierror.InvalidField(key, "not valid parameters: "+err.Error(), "correct the parameters")}
	}
	fragment, errs := template.render(team, parameters.Values)
	return fragment, within(key, errs)
}

// within prefixes the fields of errors with the entity they were found in.
func within(key string, errs apierror.List) apierror.List {
	for _, e := range errs {
		e.Field = key + ": " + e.Field
	}
	return errs
}
