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

// checker collects the errors found in settings.
type checker struct {
	errs apierror.List
}

func (c *checker) addError(field, message, remedy string) {
	c.errs = append(c.errs, apierror.InvalidField(field, message, remedy))
}

// check validates the settings and returns all errors. It checks that referenced files exist.
func (s *Settings) check() apierror.List {
	c := &checker{}
	c.checkName("id", s.ID)
	c.checkName("region", s.Region)
	c.checkName("data_centre", s.DataCentre)
	c.checkListen(s.Listen)
	for i, seed := range s.Seeds {
		c.checkAddress(fmt.Sprintf("seeds[%d]", i), seed)
	}
	for from, to := range s.DialOverrides {
		c.checkAddress("dial_overrides", from)
		c.checkAddress("dial_overrides."+from, to)
	}
	c.checkPlatform(s.Platform)
	c.checkKeys(s.Keys)
	c.checkOperators(s.Operators)
	if !(s.DrainTimeoutS > 0 && s.DrainTimeoutS <= 3600) {
		c.addError("drain_timeout_s", "out of range", "use more than 0 and at most 3600 seconds")
	}
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		c.addError("log_level", "unknown level "+s.LogLevel, "use debug, info, warn or error")
	}
	return c.errs
}

func (c *checker) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		c.addError(field, fmt.Sprintf("missing or invalid name %q", value), "use 1 to 63 lower-case letters, digits and inner hyphens")
	}
}

func (c *checker) checkAddress(field, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.addError(field, fmt.Sprintf("missing or invalid address %q", value), `use "ip:port" with a fixed port`)
	}
}

func (c *checker) checkListen(l Listen) {
	fields := []struct{ field, value string }{
		{"listen.calls", l.Calls}, {"listen.nodes", l.Nodes}, {"listen.control", l.Control}, {"listen.api", l.API},
	}
	used := make(map[string]string)
	for _, f := range fields {
		c.checkAddress(f.field, f.value)
		if other, exists := used[f.value]; exists && f.value != "" {
			c.addError(f.field, "same address as "+other, "use a different port for each listener")
		}
		used[f.value] = f.field
	}
}

func (c *checker) checkPlatform(p Platform) {
	if len(p.URLs) == 0 {
		c.addError("platform.urls", "missing", "specify at least one URL of the log service")
	}
	for i, text := range p.URLs {
		parsed, err := url.Parse(text)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			c.addError(fmt.Sprintf("platform.urls[%d]", i), fmt.Sprintf("invalid URL %q", text), `use "http://ip:port" or "https://ip:port"`)
		}
	}
	if p.Retention() < MinRetention {
		c.addError("platform.retention_s", "missing or too short", fmt.Sprintf("use the log service's retention, at least %.0f seconds", MinRetention.Seconds()))
	}
}

func (c *checker) checkKeys(k Keys) {
	if len(k.ContextFiles) == 0 {
		c.addError("keys.context_files", "missing", "specify at least one file with a key of 32 bytes or more")
	}
	for i, path := range k.ContextFiles {
		c.checkFile(fmt.Sprintf("keys.context_files[%d]", i), path)
	}
	if k.AllowPlain {
		return
	}
	c.checkFile("keys.tls_cert_file", k.TLSCertFile)
	c.checkFile("keys.tls_key_file", k.TLSKeyFile)
	c.checkFile("keys.tls_ca_file", k.TLSCAFile)
}

func (c *checker) checkOperators(o Operators) {
	if !o.AllowAnonymous {
		c.checkFile("operators.tokens_file", o.TokensFile)
	}
}

func (c *checker) checkFile(field, path string) {
	if path == "" {
		c.addError(field, "missing", "specify a file")
		return
	}
	if _, err := os.Stat(path); err != nil {
		c.addError(field, err.Error(), "specify an existing, readable file")
	}
}

// unknownFields returns an error for each field of the JSON object, nested ones included, that target does not define.
func unknownFields(data []byte, target any) apierror.List {
	var raw any
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil // reported by the decoder
	}
	var errs apierror.List
	for _, field := range unknownFieldPaths(raw, reflect.TypeOf(target), "") {
		errs = append(errs, apierror.InvalidField(field, "unknown field", "remove it or correct its name; see docs/settings.md"))
	}
	return errs
}

// unknownFieldPaths returns the paths of the unknown fields in raw, sorted.
func unknownFieldPaths(raw any, target reflect.Type, path string) []string {
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
		unknown = append(unknown, unknownFieldPaths(value, fieldType, path+name+".")...)
	}
	sort.Strings(unknown)
	return unknown
}
