package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// canonical returns the form of a JSON value that encoding/json keeps unchanged when the value is embedded in a message.
// Sizes and digests are taken from it: a record that was relayed in a message has lost its spaces, and must give the
// same result as the original.
func canonical(data json.RawMessage) (json.RawMessage, error) {
	if len(bytes.TrimSpace(data)) == 0 {
		return nil, errors.New("no JSON value")
	}
	return json.Marshal(data)
}

// decodeStrict decodes exactly one JSON value and refuses unknown fields.
func decodeStrict(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}

// decodeObject decodes a JSON object field by field into the struct that into points to, and reports every unknown
// field and every value of a wrong type. Field names are matched exactly.
func decodeObject(path string, data json.RawMessage, into any) apierror.List {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil || raw == nil {
		return apierror.List{apierror.InvalidField(path, "not a JSON object", "use an object { }")}
	}
	fields := fieldsByName(reflect.ValueOf(into).Elem())
	var errs apierror.List
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		field, ok := fields[name]
		if !ok {
			errs = append(errs, apierror.InvalidField(join(path, shorten(name)), "unknown field", "use "+strings.Join(slices.Sorted(maps.Keys(fields)), ", ")))
			continue
		}
		if err := json.Unmarshal(raw[name], field.Addr().Interface()); err != nil {
			errs = append(errs, apierror.InvalidField(join(path, name), typeProblem(err), "correct the value"))
		}
	}
	return errs
}

func fieldsByName(object reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, object.NumField())
	for i := range object.NumField() {
		tag := object.Type().Field(i).Tag.Get("json")
		name, _, _ := strings.Cut(tag, ",")
		if name != "" && name != "-" {
			fields[name] = object.Field(i)
		}
	}
	return fields
}

// decodeList decodes each element of a JSON array of objects, so that one bad element does not hide the next.
func decodeList[T any](path string, elements []json.RawMessage) ([]T, apierror.List) {
	var errs apierror.List
	decoded := make([]T, len(elements))
	for i, element := range elements {
		errs = append(errs, decodeObject(fmt.Sprintf("%s[%d]", path, i), element, &decoded[i])...)
	}
	return decoded, errs
}

// typeProblem states what is wrong with a JSON value without the names of Go types.
func typeProblem(err error) string {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
		return err.Error()
	}
	var wanted string
	switch typeError.Type.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		wanted = "a whole number"
	case reflect.Float64:
		wanted = "a number"
	case reflect.Bool:
		wanted = "true or false"
	case reflect.Slice:
		wanted = "a list"
	case reflect.Map, reflect.Struct:
		wanted = "an object"
	default:
		wanted = "a string"
	}
	return shorten(typeError.Value) + " where " + wanted + " is needed"
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// maxQuotedBytes limits how much of an input is repeated in an error message.
const maxQuotedBytes = 80

// shorten cuts long text for error messages.
func shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}

// quoted returns a shortened value in quotes.
func quoted(text string) string {
	return strconv.Quote(shorten(text))
}
