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

// Settings are the settings of one sidecar, a JSON file. Durations are strings with a unit: "1500ms", "2s".
type Settings struct {
	ID         string  `json:"id"` // name of the machine
	Region     string  `json:"region"`
	DataCentre string  `json:"data_centre"`
	Listen     Listen  `json:"listen"`
	Backend    Backend `json:"backend"`
	Store      Store   `json:"store"`
	Bounds     Bounds  `json:"bounds"`
	FirstStart bool    `json:"first_start"` // the whole fleet starts for the first time, which spares it two calls to the store
	LinkMbps   float64 `json:"link_mbps"`   // of the machine, megabits a second; 0: not known, long answers are not paced
	MemoryMB   float64 `json:"memory_mb"`   // that the process may use; 0: not known
	LogLevel   string  `json:"log_level"`   // debug, info, warn or error; default info
	// DialOverrides maps addresses of other nodes ("ip:port") to the addresses to connect to instead, for address translation
	// between data centres.
	DialOverrides map[string]string `json:"dial_overrides"`
}

// Listen holds the listening addresses, each "ip:port".
type Listen struct {
	Callers       string `json:"callers"`       // requests of clients and of the backend server
	Nodes         string `json:"nodes"`         // requests that other nodes forward
	Control       string `json:"control"`       // JSON-RPC between nodes
	Announcements string `json:"announcements"` // of the backend server
	Readiness     string `json:"readiness"`
	Metrics       string `json:"metrics"`
}

// Backend is the backend server on the same machine.
type Backend struct {
	Service              string   `json:"service"`
	Address              string   `json:"address"`               // "ip:port"
	AnnouncementInterval Duration `json:"announcement_interval"` // time between its announcements
}

// Store is the platform's store.
type Store struct {
	Address string `json:"address"` // "ip:port"
}

// Bounds are what the operators of the platform demand.
type Bounds struct {
	GracePeriod       Duration `json:"grace_period"` // from SIGTERM to SIGKILL
	Drain             Duration `json:"drain"`        // after an acknowledged leave, until which requests may still arrive
	ConfigApply       Duration `json:"config_apply"` // until which a configuration is to be in force everywhere
	RetryRatio        float64  `json:"retry_ratio"`  // repeats, relative to the requests for a service
	RetrySlack        float64  `json:"retry_slack"`  // further repeats in each window, over all nodes
	RetryWindow       Duration `json:"retry_window"`
	ReadinessInterval Duration `json:"ready_checked_in"` // time between questions for readiness
}

// Duration is a time.Duration that is written as a string.
type Duration time.Duration

// UnmarshalJSON reads a string such as "1500ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s is not a string with a unit, as \"1500ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		return fmt.Errorf("duration %q is not a number with a unit, as 1500ms", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// maxSettingsBytes bounds the file.
const maxSettingsBytes = 1 << 20

// LoadSettings reads and checks a settings file. Errors name every fault with its remedy.
func LoadSettings(path string) (*Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, apierror.New(apierror.Invalid, err.Error(), "name an existing, readable settings file")
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxSettingsBytes+1))
	if err != nil {
		return nil, apierror.New(apierror.Invalid, err.Error(), "make the settings file readable")
	}
	return ParseSettings(data)
}

// ParseSettings decodes and checks settings. Unknown fields are refused.
func ParseSettings(data []byte) (*Settings, error) {
	if len(data) > maxSettingsBytes {
		return nil, apierror.New(apierror.TooLarge, "the settings exceed 1 MiB", "name a settings file")
	}
	s := &Settings{LogLevel: "info"}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, apierror.InvalidField("settings", err.Error(), "correct the file; fields are in docs/platform.md")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, apierror.InvalidField("settings", "data behind the settings", "keep one JSON object in the file")
	}
	if errs := s.check(); len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

const (
	bufferShare        = 0.125    // of the memory, for long answers
	defaultBufferBytes = 16 << 20 // where the memory is not known
)

// bufferBytes is the memory for long answers of the backend server that wait for their callers.
func (s *Settings) bufferBytes() int64 {
	if s.MemoryMB == 0 {
		return defaultBufferBytes
	}
	const bytesPerMB = 1e6
	return int64(s.MemoryMB * bytesPerMB * bufferShare)
}

func (s *Settings) check() apierror.List {
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
		require(f.value != "", f.field, "missing", "give a name")
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
		require(f.value > 0, f.field, "missing or 0", "give a duration, as \"2s\"")
	}
	require(s.LinkMbps >= 0, "link_mbps", "negative", "give megabits a second, or 0 if it is not known")
	require(s.MemoryMB >= 0, "memory_mb", "negative", "give megabytes, or 0 if it is not known")
	require(s.Bounds.RetryRatio >= 0, "bounds.retry_ratio", "negative", "use 0 or more")
	require(s.Bounds.RetrySlack >= 0, "bounds.retry_slack", "negative", "use 0 or more")
	return errs
}
