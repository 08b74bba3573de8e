package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference returns the settings reference as a Markdown page.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Settings\n\nThe settings of a node are one JSON file. Unknown fields, missing values and invalid values are rejected, and\none error lists them all. This page is generated from the struct tags of `pkg/settings`; a test keeps it up to date.\n\n")
	page.WriteString("| field | type | unit | default | meaning |\n|---|---|---|---|---|\n")
	writeFields(&page, reflect.TypeFor[Settings](), "")
	return page.String()
}

func writeFields(page *strings.Builder, target reflect.Type, path string) {
	for i := range target.NumField() {
		field := target.Field(i)
		name := path + field.Tag.Get("json")
		if field.Type.Kind() == reflect.Struct {
			writeFields(page, field.Type, name+".")
			continue
		}
		fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s |\n", name, typeName(field.Type), orDash(field.Tag.Get("unit")),
			defaultText(field.Tag), field.Tag.Get("doc"))
	}
}

// defaultText returns the default of a field, or "required" if it has none.
func defaultText(tag reflect.StructTag) string {
	if value, ok := tag.Lookup("default"); ok {
		return value
	}
	return "required"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// typeName returns the JSON type of a Go type for the reference.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		return "list of " + typeName(t.Elem())
	case reflect.Map:
		return "object of " + typeName(t.Elem())
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "boolean"
	default:
		return t.Kind().String()
	}
}
