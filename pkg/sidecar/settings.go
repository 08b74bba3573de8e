package sidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Settings holds the settings of one sidecar, read from a JSON file. Durations are strings with a unit: "1500ms", "2s".
type Settings struct {
	ID         string  `json:"id"` // name of the VM
	Region     string  `json:"region"`
	DataCentre string  `json:"data_centre"`
	Listen     Listen  `json:"listen"`
	Backend    Backend `json:"backend"`
	Store      Store   `json:"store"`
	Bounds     Bounds  `json:"bounds"`
	FirstStart bool    `json:"first_start"` // the fleet starts for the first time, so the node skips two calls to the store
	LinkMbps   float64 `json:"link_mbps"`   // bandwidth of the VM, Mbit/s; 0: unknown, long responses are not paced
	MemoryMB   float64 `json:"memory_mb"`   // memory available to the process, MB; 0: unknown
	LogLevel   string  `json:"log_level"`   // debug, info, warn or error; default info
	// DialOverrides maps addresses of other nodes ("ip:port") to the addresses to connect to instead, for address translation
	// between data centres.
	DialOverrides map[string]string `json:"dial_overrides"`
}

// Listen holds the listening addresses, each "ip:port".
type Listen struct {
	Callers       string `json:"callers"`       // requests from clients and from the backend server
	Nodes         string `json:"nodes"`         // requests forwarded by other nodes
	Control       string `json:"control"`       // JSON-RPC between nodes
	Announcements string `json:"announcements"` // announcements of the backend server
	Readiness     string `json:"readiness"`
	Metrics       string `json:"metrics"`
}

// Backend describes the backend server on the same VM.
type Backend struct {
	Service              string   `json:"service"`
	Address              string   `json:"address"`               // "ip:port"
	AnnouncementInterval Duration `json:"announcement_interval"` // interval between its announcements
}

// Store is the platform's store.
type Store struct {
	Address string `json:"address"` // "ip:port"
}

// Bounds holds the time limits and retry limits that the platform's operators require.
type Bounds struct {
	GracePeriod       Duration `json:"grace_period"`   // from SIGTERM to SIGKILL
	Drain             Duration `json:"drain"`          // how long requests may still arrive after a departure was acknowledged
	ConfigApply       Duration `json:"config_apply"`   // deadline for a configuration to be in force on all nodes
	StoreRecovery     Duration `json:"store_recovery"` // after a fault of the store, until configurations are again in force in time; default 3 s
	RetryRatio        float64  `json:"retry_ratio"`    // retry budget as a fraction of the requests to a service
	RetrySlack        float64  `json:"retry_slack"`    // additional retries per window, across all nodes
	RetryWindow       Duration `json:"retry_window"`
	ReadinessInterval Duration `json:"ready_checked_in"` // interval between readiness checks
	ExposureShare     float64  `json:"exposure_share"`   // fraction of a service's requests that a version may get before it is known to be good
	ExposureSlack     float64  `json:"exposure_slack"`   // additional requests that it may get
	LimitWindow       Duration `json:"limit_window"`     // in which the limits of teams hold; 0: 5 s, and the defaults of the two fields below
	LimitOverage      float64  `json:"limit_overage"`    // fraction by which a limit of a team may be exceeded in a window; default 0.1
	LimitSlack        float64  `json:"limit_slack"`      // requests by which it may be exceeded in addition; default 20
}

// Duration is a time.Duration that is encoded as a string.
type Duration time.Duration

// UnmarshalJSON reads a string such as "1500ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s is not a string with a unit, such as \"1500ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		return fmt.Errorf("duration %q is not a non-negative number with a unit, such as 1500ms", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// maxSettingsBytes bounds the size of the settings file.
const maxSettingsBytes = 1 << 20

// LoadSettings reads and validates a settings file. The error lists every invalid field with a remedy.
func LoadSettings(path string) (*Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, apierror.New(apierror.Invalid, err.Error(), "specify an existing, readable settings file")
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxSettingsBytes+1))
	if err != nil {
		return nil, apierror.New(apierror.Invalid, err.Error(), "make the settings file readable")
	}
	return ParseSettings(data)
}

// ParseSettings decodes and validates settings. Unknown fields are rejected.
func ParseSettings(data []byte) (*Settings, error) {
	if len(data) > maxSettingsBytes {
		return nil, apierror.New(apierror.TooLarge, "the settings exceed 1 MiB", "specify a settings file")
	}
	s := &Settings{LogLevel: "info", Bounds: Bounds{
		LimitWindow: Duration(defaultLimitBound.Window), LimitOverage: defaultLimitBound.Overage, LimitSlack: defaultLimitBound.Slack,
	}}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, apierror.InvalidField("settings", err.Error(), "correct the file; fields are in docs/platform.md")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, apierror.InvalidField("settings", "unexpected data after the settings object", "keep one JSON object in the file")
	}
	if errs := s.validate(); len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

const (
	bufferShare        = 0.125    // fraction of the memory that may buffer long responses
	defaultBufferBytes = 16 << 20 // if the memory is unknown
)

// bufferBytes returns the memory, in bytes, for buffering long responses of the backend server until their callers have read them.
func (s *Settings) bufferBytes() int64 {
	if s.MemoryMB == 0 {
		return defaultBufferBytes
	}
	const bytesPerMB = 1e6
	return int64(s.MemoryMB * bytesPerMB * bufferShare)
}

func (s *Settings) validate() apierror.List {
	var errs apierror.List
	require := func(ok bool, field, message, remedy string) {
		if !ok {
			errs = append(errs, apierror.InvalidField(field, message, remedy))
		}
	}
	requireAddress := func(field, value string) {
		address, err := netip.ParseAddrPort(value)
		require(err == nil && address.Port() != 0, field, fmt.Sprintf("missing or invalid address %q", value), `use "ip:port" with a fixed port`)
	}
	for _, f := range []struct{ field, value string }{
		{"id", s.ID}, {"region", s.Region}, {"data_centre", s.DataCentre}, {"backend.service", s.Backend.Service},
	} {
		require(f.value != "", f.field, "missing", "specify a name")
	}
	for _, f := range []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.nodes", s.Listen.Nodes}, {"listen.control", s.Listen.Control},
		{"listen.announcements", s.Listen.Announcements}, {"listen.readiness", s.Listen.Readiness}, {"listen.metrics", s.Listen.Metrics},
		{"backend.address", s.Backend.Address}, {"store.address", s.Store.Address},
	} {
		requireAddress(f.field, f.value)
	}
	for from, to := range s.DialOverrides {
		requireAddress("dial_overrides", from)
		requireAddress("dial_overrides."+from, to)
	}
	for _, f := range []struct {
		field string
		value Duration
	}{
		{"backend.announcement_interval", s.Backend.AnnouncementInterval}, {"bounds.grace_period", s.Bounds.GracePeriod},
		{"bounds.drain", s.Bounds.Drain}, {"bounds.config_apply", s.Bounds.ConfigApply}, {"bounds.retry_window", s.Bounds.RetryWindow},
		{"bounds.ready_checked_in", s.Bounds.ReadinessInterval},
	} {
		require(f.value > 0, f.field, "missing or 0", "specify a duration, such as \"2s\"")
	}
	require(s.LinkMbps >= 0, "link_mbps", "negative", "specify Mbit/s, or 0 if unknown")
	require(s.MemoryMB >= 0, "memory_mb", "negative", "specify megabytes, or 0 if unknown")
	require(s.Bounds.RetryRatio >= 0, "bounds.retry_ratio", "negative", "use 0 or more")
	require(s.Bounds.RetrySlack >= 0, "bounds.retry_slack", "negative", "use 0 or more")
	require(s.Bounds.ExposureShare >= 0 && s.Bounds.ExposureShare <= 1, "bounds.exposure_share", "not a fraction", "use 0 to 1")
	require(s.Bounds.ExposureSlack >= 0, "bounds.exposure_slack", "negative", "use 0 or more")
	require(s.Bounds.LimitOverage >= 0, "bounds.limit_overage", "negative", "use 0 or more")
	require(s.Bounds.LimitSlack >= 0, "bounds.limit_slack", "negative", "use 0 or more")
	return errs
}
