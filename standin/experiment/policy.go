package experiment

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
	"github.com/laburnumcleat/laburnumcleat/pkg/dependency"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/retry"
)

// policies are the parameters of all decisions.
type policies struct {
	admission  admission.Policy
	placement  placement.Policy
	shortage   placement.ShortagePolicy
	retry      retry.Policy
	dependency dependency.Policy
	without    []Mechanism
}

// has reports whether a mechanism is in use.
func (p *policies) has(m Mechanism) bool { return !slices.Contains(p.without, m) }

// policies returns the parameters of the product with the changes of the variant.
func (v *Variant) policies() (*policies, error) {
	p := &policies{admission: admission.DefaultPolicy(), placement: placement.DefaultPolicy(), shortage: placement.DefaultShortagePolicy(), retry: retry.DefaultPolicy(), dependency: dependency.DefaultPolicy(), without: v.Without}
	for _, change := range []struct {
		policy any
		values map[string]json.RawMessage
	}{{&p.admission, v.Admission}, {&p.placement, v.Placement}, {&p.shortage, v.Shortage}, {&p.retry, v.Retry}, {&p.dependency, v.Dependency}} {
		for name, value := range change.values {
			if err := setField(reflect.ValueOf(change.policy).Elem(), name, value); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

// setField sets a field of a policy from JSON. Durations are strings such as "2s".
func setField(policy reflect.Value, name string, value json.RawMessage) error {
	field := policy.FieldByName(name)
	if !field.IsValid() {
		return fmt.Errorf("%s has no field %q", policy.Type(), name)
	}
	if field.Type() != reflect.TypeFor[time.Duration]() {
		if err := json.Unmarshal(value, field.Addr().Interface()); err != nil {
			return fmt.Errorf("%s.%s: %w", policy.Type(), name, err)
		}
		return nil
	}
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return fmt.Errorf("%s.%s: state a duration such as \"2s\"", policy.Type(), name)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%s.%s: %w", policy.Type(), name, err)
	}
	field.SetInt(int64(d))
	return nil
}
