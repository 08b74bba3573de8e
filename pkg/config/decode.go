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
// Sizes and digests are computed from this form: a record relayed in a message has lost its insignificant whitespace and
// must give the same result as the original.
func canonical(data json.RawMessage) (json.RawMessage, error) {
	if len(bytes.TrimSpace(data)) == 0 {
		return nil, errors.New("no JSON value")
	}
	return json.Marshal(data)
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields and trailing data.
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

// decodeObject decodes a JSON object field by field into the struct that target points to, and reports all unknown
// fields and all type mismatches. Field names are case-sensitive.
func decodeObject(path string, data json.RawMessage, target any) apierror.List {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil || raw == nil {
		return apierror.List{apierror.InvalidField(path, "not a JSON object", "use an object { }")}
	}
	fields := fieldsByName(reflect.ValueOf(target).Elem())
	var errs apierror.List
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		field, ok := fields[name]
		if !ok {
			errs = append(errs, apierror.InvalidField(joinPath(path, shorten(name)), "unknown field", "use "+strings.Join(slices.Sorted(maps.Keys(fields)), ", ")))
			continue
		}
		if err := json.Unmarshal(raw[name], field.Addr().Interface()); err != nil {
			errs = append(errs, apierror.InvalidField(joinPath(path, name), typeErrorMessage(err), "correct the value"))
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

// decodeList decodes each element of a JSON array of objects separately, so that the errors of all elements are reported.
func decodeList[T any](path string, elements []json.RawMessage) ([]T, apierror.List) {
	var errs apierror.List
	decoded := make([]T, len(elements))
	for i, element := range elements {
		errs = append(errs, decodeObject(fmt.Sprintf("%s[%d]", path, i), element, &decoded[i])...)
	}
	return decoded, errs
}

// typeErrorMessage describes a JSON type mismatch without Go type names.
func typeErrorMessage(err error) string {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
		return err.Error()
	}
	var expected string
	switch typeError.Type.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		expected = "an integer"
	case reflect.Float64:
		expected = "a number"
	case reflect.Bool:
		expected = "true or false"
	case reflect.Slice:
		expected = "a list"
	case reflect.Map, reflect.Struct:
		expected = "an object"
	default:
		expected = "a string"
	}
	return shorten(typeError.Value) + " found where " + expected + " is expected"
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// maxQuotedBytes limits how much of an input is quoted in an error message.
const maxQuotedBytes = 80

// shorten truncates text to maxQuotedBytes for error messages.
func shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}

// quoted returns a truncated value in quotes.
func quoted(text string) string {
	return strconv.Quote(shorten(text))
}
