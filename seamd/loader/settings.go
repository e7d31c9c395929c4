// Package loader reads and checks the settings file of the fleet daemon seamd. The
// operators' client seamctl uses its settings for TLS and for the shared secret. Tests,
// and the demonstrations and measurements of seamctl, use it to configure instances.
//
// Settings apply to a single instance: its identity, its listeners, its logs and its
// security. Teams, routes and services apply to the whole fleet. They are in the
// configuration, which is kept in the platform's store.
//
// # Usage
//
//	settings, err := loader.Load("seamd.json")
//
// Errors carry the code [coder.SettingsInvalid], the path of the invalid field and, where
// one is useful, a hint how to fix it.
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
	// Peers lists the IP addresses and ports of the instances that this instance
	// contacts first to join the fleet.
	Peers      []string   `json:"peers,omitempty"`
	Membership Membership `json:"membership"`
	Security   Security   `json:"security"`
	// Seed is the seed of the random number generators. 0 selects the start time.
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

// Membership limits the traffic of the membership protocol, by which instances track each
// other.
type Membership struct {
	// BytesPerSecond is the maximum rate of heartbeats sent and received, in bytes
	// per second. 0 selects the default.
	BytesPerSecond int `json:"bytesPerSecond,omitempty"`
}

// Platform locates the platform's object service, which stores the configuration and the
// keys. Address is its URL.
type Platform struct {
	Address string `json:"address"`
}

// Shutdown sets the time limits of a graceful shutdown.
type Shutdown struct {
	// Linger is how long the instance continues to accept requests after the shutdown
	// has started. Callers with cached lookup responses switch to other instances in
	// this time. Linger is also the maximum time that the instance waits, at the end
	// of the shutdown, until other instances can take over its shares of the
	// fleet-wide limits.
	Linger configurer.Duration `json:"linger,omitempty"`
	// Timeout is the maximum time, after the linger, until the requests in progress
	// have finished. Requests that are still in progress then are aborted.
	Timeout configurer.Duration `json:"timeout,omitempty"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error. Routing decisions are logged at level info.
	Level string `json:"level,omitempty"`
	// Sampling limits how many routing decisions are logged.
	Sampling Sampling `json:"sampling"`
}

// Sampling limits the log lines of routing decisions. Of the lines with the same message,
// the first First in each second are logged, and after these every Thereafter-th line. 0
// selects the default.
type Sampling struct {
	First      int `json:"first,omitempty"`
	Thereafter int `json:"thereafter,omitempty"`
}

// Load reads the settings file at path and returns its settings, as [Parse] does.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, coder.Errorf(coder.SettingsInvalid, path, "read settings file: %w", err)
	}
	return Parse(data)
}

// Parse decodes the content of a settings file, sets the defaults of omitted fields and
// checks the result. It returns an error for the first invalid setting.
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
