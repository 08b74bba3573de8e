package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"regexp"
	"sort"
	"strings"

	"go.uber.org/zap/zapcore"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checker collects faults.
type checker struct {
	errs apierror.List
}

func (c *checker) fault(field, message, remedy string) {
	c.errs = append(c.errs, apierror.InvalidField(field, message, remedy))
}

func (s *Settings) check() apierror.List {
	c := &checker{}
	c.name("id", s.ID)
	c.name("region", s.Region)
	c.name("data_centre", s.DataCentre)
	c.listen(s.Listen)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	for from, to := range s.DialOverrides {
		c.address("dial_overrides", from)
		c.address("dial_overrides."+from, to)
	}
	c.platform(s.Platform)
	c.keys(s.Keys)
	c.operators(s.Operators)
	if !(s.DrainTimeoutS > 0 && s.DrainTimeoutS <= 3600) {
		c.fault("drain_timeout_s", "out of range", "use more than 0 and at most 3600 seconds")
	}
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		c.fault("log_level", "unknown level "+s.LogLevel, "use debug, info, warn or error")
	}
	return c.errs
}

func (c *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.fault(field, fmt.Sprintf("missing or invalid name %q", value), "use 1 to 63 lower-case letters, digits and inner hyphens")
	}
}

func (c *checker) address(field, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.fault(field, fmt.Sprintf("missing or invalid address %q", value), `use "ip:port" with a fixed port`)
	}
}

func (c *checker) listen(l Listen) {
	fields := []struct{ field, value string }{
		{"listen.calls", l.Calls}, {"listen.nodes", l.Nodes}, {"listen.control", l.Control}, {"listen.api", l.API},
	}
	used := make(map[string]string)
	for _, f := range fields {
		c.address(f.field, f.value)
		if other, taken := used[f.value]; taken && f.value != "" {
			c.fault(f.field, "same address as "+other, "give each listener its own port")
		}
		used[f.value] = f.field
	}
}

func (c *checker) platform(p Platform) {
	if len(p.URLs) == 0 {
		c.fault("platform.urls", "missing", "name at least one URL of the log service")
	}
	for i, text := range p.URLs {
		parsed, err := url.Parse(text)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			c.fault(fmt.Sprintf("platform.urls[%d]", i), fmt.Sprintf("invalid URL %q", text), `use "http://ip:port" or "https://ip:port"`)
		}
	}
	if p.Retention() < MinRetention {
		c.fault("platform.retention_s", "missing or too short", fmt.Sprintf("use the log service's retention, at least %.0f seconds", MinRetention.Seconds()))
	}
}

func (c *checker) keys(k Keys) {
	if len(k.ContextFiles) == 0 {
		c.fault("keys.context_files", "missing", "name at least one file with a key of 32 bytes or more")
	}
	for i, path := range k.ContextFiles {
		c.file(fmt.Sprintf("keys.context_files[%d]", i), path)
	}
	if k.AllowPlain {
		return
	}
	c.file("keys.tls_cert_file", k.TLSCertFile)
	c.file("keys.tls_key_file", k.TLSKeyFile)
	c.file("keys.tls_ca_file", k.TLSCAFile)
}

func (c *checker) operators(o Operators) {
	if !o.AllowAnonymous {
		c.file("operators.tokens_file", o.TokensFile)
	}
}

func (c *checker) file(field, path string) {
	if path == "" {
		c.fault(field, "missing", "name a file")
		return
	}
	if _, err := os.Stat(path); err != nil {
		c.fault(field, err.Error(), "name an existing, readable file")
	}
}

// unknownFields lists every field of the JSON object that has no counterpart in the struct.
func unknownFields(data []byte, target any) apierror.List {
	var raw any
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil // reported by the decoder
	}
	var errs apierror.List
	for _, field := range unknownIn(raw, reflect.TypeOf(target), "") {
		errs = append(errs, apierror.InvalidField(field, "unknown field", "remove it or correct its name; see docs/settings.md"))
	}
	return errs
}

func unknownIn(raw any, target reflect.Type, path string) []string {
	object, ok := raw.(map[string]any)
	if !ok || target.Kind() != reflect.Struct {
		return nil
	}
	known := make(map[string]reflect.Type)
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Field(i).Tag.Get("json"), ",")
		known[name] = target.Field(i).Type
	}
	var unknown []string
	for name, value := range object {
		fieldType, exists := known[name]
		if !exists {
			unknown = append(unknown, path+name)
			continue
		}
		unknown = append(unknown, unknownIn(value, fieldType, path+name+".")...)
	}
	sort.Strings(unknown)
	return unknown
}
