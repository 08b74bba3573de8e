// Package settings reads and validates the JSON settings of a node.
//
// docs/settings.md is generated from the struct tags: "doc" is the description of a field, "unit" its unit and "default" its
// default.
package settings

import (
	"encoding/json"
	"os"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Settings holds the settings of one node.
type Settings struct {
	ID            string            `json:"id" doc:"name of the VM slot, unique among running nodes; a replacement VM keeps the name of the VM that it replaces"`
	Region        string            `json:"region" doc:"region of the VM"`
	DataCentre    string            `json:"data_centre" doc:"data centre of the VM"`
	Listen        Listen            `json:"listen" doc:"addresses that the node listens on"`
	DialOverrides map[string]string `json:"dial_overrides" doc:"addresses of other nodes (\"ip:port\") mapped to the addresses to connect to instead, for address translation between data centres" default:"none"`
	Seeds         []string          `json:"seeds" doc:"control addresses of other nodes to contact when joining; may be empty if the log service is reachable" default:"none"`
	Platform      Platform          `json:"platform" doc:"the platform's log service"`
	Keys          Keys              `json:"keys" doc:"keys for signing and TLS"`
	Operators     Operators         `json:"operators" doc:"access of operators and of the local backend server"`
	DrainTimeoutS float64           `json:"drain_timeout_s" doc:"maximum time that a graceful shutdown waits for calls in flight" unit:"s" default:"60"`
	LogLevel      string            `json:"log_level" doc:"debug, info, warn or error" default:"info"`
}

// Listen holds the listen addresses, each "ip:port". Other processes connect to these addresses.
type Listen struct {
	Calls   string `json:"calls" doc:"HTTP for callers: clients and the local backend server"`
	Nodes   string `json:"nodes" doc:"HTTP for calls forwarded by other nodes"`
	Control string `json:"control" doc:"JSON-RPC between nodes"`
	API     string `json:"api" doc:"HTTP for operators, metrics, health, and announcements of the local backend server"`
}

// Platform describes the log service.
type Platform struct {
	URLs       []string `json:"urls" doc:"base URLs of the log service, tried in order"`
	RetentionS float64  `json:"retention_s" doc:"how long the log service keeps records; at least 1200 so that request ids can be resolved" unit:"s"`
}

// Keys holds the paths of key files. The files are reloaded on SIGHUP.
type Keys struct {
	ContextFiles []string `json:"context_files" doc:"files with the keys that sign call contexts, at least 32 bytes each; the first signs, all verify"`
	TLSCertFile  string   `json:"tls_cert_file" doc:"certificate of this node, PEM" default:"none"`
	TLSKeyFile   string   `json:"tls_key_file" doc:"private key of this node, PEM" default:"none"`
	TLSCAFile    string   `json:"tls_ca_file" doc:"certificates of the CA that signs node certificates, PEM" default:"none"`
	AllowPlain   bool     `json:"allow_plain" doc:"true: no TLS between nodes or for operators; logged at start" default:"false"`
}

// Operators holds the authentication settings of the operators' interface.
type Operators struct {
	TokensFile     string `json:"tokens_file" doc:"JSON file with tokens and their roles" default:"none"`
	AllowAnonymous bool   `json:"allow_anonymous" doc:"true: no operation requires a token; logged at start" default:"false"`
}

// MinRetention is the minimum retention of the log for resolving request ids: twice the lifetime of an entry in the table of
// request ids.
const MinRetention = 20 * time.Minute

const (
	defaultDrainTimeoutS = 60
	defaultLogLevel      = "info"
	maxFileBytes         = 1 << 20
)

// Retention returns how long the log service keeps records.
func (p Platform) Retention() time.Duration {
	return time.Duration(p.RetentionS * float64(time.Second))
}

// DrainTimeout returns the maximum time that a graceful shutdown waits for calls in flight.
func (s *Settings) DrainTimeout() time.Duration {
	return time.Duration(s.DrainTimeoutS * float64(time.Second))
}

// Load reads and validates a settings file. An error of the content lists all invalid fields, each with
// a remedy.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, apierror.New(apierror.Invalid, err.Error(), "specify an existing settings file")
	}
	if info.Size() > maxFileBytes {
		return nil, apierror.New(apierror.TooLarge, path+" exceeds 1 MiB", "specify a settings file")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.New(apierror.Invalid, err.Error(), "make the settings file readable")
	}
	return Parse(data)
}

// Parse decodes and validates settings. The error lists all invalid fields, each with a remedy.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{DrainTimeoutS: defaultDrainTimeoutS, LogLevel: defaultLogLevel}
	errs := unknownFields(data, *s)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, append(errs, decodeError(err))
	}
	errs = append(errs, s.check()...)
	if len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

func decodeError(err error) *apierror.Error {
	if typeError, ok := err.(*json.UnmarshalTypeError); ok {
		return apierror.InvalidField(typeError.Field, "unexpected JSON type "+typeError.Value, "use a value of type "+typeError.Type.String())
	}
	return apierror.InvalidField("settings", "not valid JSON: "+err.Error(), "correct the file")
}
