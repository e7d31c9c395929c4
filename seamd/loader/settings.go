// Package loader reads and checks a daemon's settings file.
//
// Settings belong to a single instance: its identity, its listeners, its logs and its
// security. Teams, routes and services are fleet-wide configuration, which is kept in the
// platform's store.
//
// # Usage
//
//	settings, err := loader.Load("seamd.json")
//
// Errors carry [coder.SettingsInvalid], the path of the invalid field and, where one is
// useful, a hint how to fix it.
package loader

import (
	"os"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Defaults of optional settings.
const (
	defaultShutdownLinger  = 10 * time.Second // longer than callers cache a lookup response that lists the instance
	defaultShutdownTimeout = 30 * time.Second
	defaultLogLevel        = "info"
	defaultLogFirst        = 100
	defaultLogThereafter   = 100
)

// Settings is the content of a daemon's settings file.
type Settings struct {
	Instance Instance `json:"instance"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	Shutdown Shutdown `json:"shutdown"`
	Log      Log      `json:"log"`
	// Peers lists the IP addresses and ports of instances to contact first in order to
	// join the fleet.
	Peers      []string   `json:"peers,omitempty"`
	Membership Membership `json:"membership"`
	Security   Security   `json:"security"`
	// Seed seeds the random number generators; 0 selects the start time.
	Seed uint64 `json:"seed,omitempty"`
}

// Instance identifies the instance and its location.
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

// Membership limits the traffic of the membership protocol between instances.
type Membership struct {
	// BytesPerSecond limits the heartbeats sent and received; 0 selects the default.
	BytesPerSecond int `json:"bytesPerSecond,omitempty"`
}

// Platform sets the URL of the platform's object service.
type Platform struct {
	Address string `json:"address"`
}

// Shutdown sets the time limits of a graceful shutdown.
type Shutdown struct {
	// Linger is how long the instance goes on accepting requests after the shutdown
	// starts, so that callers with cached lookup responses can switch to other
	// instances. It also limits the wait until other instances can take over the
	// fleet-wide limits that this one keeps.
	Linger configurer.Duration `json:"linger,omitempty"`
	// Timeout limits the time after the linger in which requests in progress may
	// finish.
	Timeout configurer.Duration `json:"timeout,omitempty"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error. Routing decisions are logged at level info.
	Level string `json:"level,omitempty"`
	// Sampling limits how many routing decisions are logged.
	Sampling Sampling `json:"sampling"`
}

// Sampling sets how routing decisions are sampled. Of those with the same log message,
// the first First in each second are logged, and after that every Thereafter-th.
type Sampling struct {
	First      int `json:"first,omitempty"`
	Thereafter int `json:"thereafter,omitempty"`
}

// Load reads a settings file and returns its checked settings.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, coder.Errorf(coder.SettingsInvalid, path, "read settings file: %w", err)
	}
	return Parse(data)
}

// Parse decodes settings, sets the defaults of omitted fields and checks the result.
func Parse(data []byte) (Settings, error) {
	var s Settings
	if len(data) > maxFileBytes {
		return s, invalid("", "file is larger than %d bytes; check that it is a settings file", maxFileBytes)
	}
	if err := decode(data, &s); err != nil {
		return Settings{}, err
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
	if s.Log.Sampling.First == 0 {
		s.Log.Sampling.First = defaultLogFirst
	}
	if s.Log.Sampling.Thereafter == 0 {
		s.Log.Sampling.Thereafter = defaultLogThereafter
	}
	return s
}
