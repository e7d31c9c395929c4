// Package loader reads and checks a daemon's settings file.
//
// Settings say who an instance is and where it listens. What the fleet does is
// configuration, which lives in the platform's store.
//
// # Usage
//
//	settings, err := loader.Load("seamd.json")
//
// Errors carry [coder.SettingsInvalid] and the path of the field at fault.
package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// Defaults for settings that may be left out.
const (
	defaultShutdownLinger  = 8 * time.Second
	defaultShutdownTimeout = 30 * time.Second
	defaultLogLevel        = "info"
)

// Settings is a daemon's settings file.
type Settings struct {
	Instance Instance `json:"instance"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	Shutdown Shutdown `json:"shutdown"`
	Log      Log      `json:"log"`
	// Peers lists the IP addresses and ports of peers to join by.
	Peers      []string   `json:"peers,omitempty"`
	Membership Membership `json:"membership"`
	Security   Security   `json:"security"`
	// Seed seeds random choices; 0 takes the time of the start.
	Seed uint64 `json:"seed,omitempty"`
}

// Instance says who and where the daemon is.
type Instance struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Listen holds the IP address and port of each listener.
type Listen struct {
	Callers string `json:"callers"`
	Lookups string `json:"lookups"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
}

// Membership bounds what instances tell each other about themselves.
type Membership struct {
	// BytesPerSecond is the budget for heartbeats sent and received; 0 takes
	// the default.
	BytesPerSecond int `json:"bytesPerSecond,omitempty"`
}

// Platform says where the platform's object service answers.
type Platform struct {
	Address string `json:"address"`
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	// Linger is how long new requests are still served after the instance has
	// left the look-ups, so that callers' cached answers can expire.
	Linger configurer.Duration `json:"linger,omitempty"`
	// Timeout is how long requests in progress may go on.
	Timeout configurer.Duration `json:"timeout,omitempty"`
}

// Log sets what is logged.
type Log struct {
	Level string `json:"level,omitempty"`
}

// Load reads and checks the settings in a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, coder.Errorf(coder.SettingsInvalid, path, "read file: %w", err)
	}
	return Parse(data)
}

// Parse decodes and checks settings and fills in defaults.
func Parse(data []byte) (Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, coder.Errorf(coder.SettingsInvalid, "", "not settings: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Settings{}, coder.Errorf(coder.SettingsInvalid, "", "data after the settings")
	}
	s = s.withDefaults()
	return s, s.check()
}

func (s Settings) withDefaults() Settings {
	if s.Shutdown.Linger == 0 {
		s.Shutdown.Linger = configurer.Duration(defaultShutdownLinger)
	}
	if s.Shutdown.Timeout == 0 {
		s.Shutdown.Timeout = configurer.Duration(defaultShutdownTimeout)
	}
	if s.Log.Level == "" {
		s.Log.Level = defaultLogLevel
	}
	return s
}

func (s Settings) check() error {
	required := []struct{ path, value string }{
		{"instance.id", s.Instance.ID},
		{"instance.region", s.Instance.Region},
		{"instance.failureDomain", s.Instance.FailureDomain},
	}
	for _, r := range required {
		if r.value == "" {
			return coder.Errorf(coder.SettingsInvalid, r.path, "must not be empty")
		}
	}
	addresses := []struct{ path, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.lookups", s.Listen.Lookups},
		{"listen.peers", s.Listen.Peers},
		{"listen.metrics", s.Listen.Metrics},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return coder.Errorf(coder.SettingsInvalid, a.path, "%q is not an IP address with a port", a.value)
		}
	}
	for i, address := range s.Peers {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return coder.Errorf(coder.SettingsInvalid, fmt.Sprintf("peers[%d]", i), "%q is not an IP address with a port", address)
		}
	}
	if s.Membership.BytesPerSecond < 0 {
		return coder.Errorf(coder.SettingsInvalid, "membership.bytesPerSecond", "must not be negative")
	}
	if u, err := url.Parse(s.Platform.Address); err != nil || u.Host == "" {
		return coder.Errorf(coder.SettingsInvalid, "platform.address", "%q is not an http or https address", s.Platform.Address)
	}
	if s.Shutdown.Linger < 0 || s.Shutdown.Timeout < 0 {
		return coder.Errorf(coder.SettingsInvalid, "shutdown", "durations must not be negative")
	}
	if _, err := zapcore.ParseLevel(s.Log.Level); err != nil {
		return coder.Errorf(coder.SettingsInvalid, "log.level", "%q is not a level", s.Log.Level)
	}
	return s.Security.check()
}
