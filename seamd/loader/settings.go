// Package loader reads and checks a daemon's settings file.
//
// Settings say who an instance is and where it listens. What the fleet does is
// configuration, which lives in the platform's store.
//
// # Usage
//
//	settings, err := loader.Load("seamd.json")
//
// Errors carry [coder.SettingsInvalid], the path of the field at fault and a
// hint how to mend it.
package loader

import (
	"os"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// maxBytes is the greatest size of a settings file.
const maxBytes = 1 << 20

// Defaults for settings that may be left out.
const (
	defaultShutdownLinger  = 10 * time.Second // outlives the last look-up answer that names the instance
	defaultShutdownTimeout = 30 * time.Second
	defaultLogLevel        = "info"
	defaultLogFirst        = 100
	defaultLogThereafter   = 100
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
	// Linger is how long new requests are still served, so that callers with
	// cached look-up answers learn of the stop.
	Linger configurer.Duration `json:"linger,omitempty"`
	// Timeout is how long requests in progress may go on after it.
	Timeout configurer.Duration `json:"timeout,omitempty"`
}

// Log sets what is logged.
type Log struct {
	// Level is debug, info, warn or error. Decision lines are of level info.
	Level string `json:"level,omitempty"`
	// Sampling thins out the decision lines.
	Sampling Sampling `json:"sampling"`
}

// Sampling keeps the first decision lines of a kind in each second, and of
// those that follow every n-th.
type Sampling struct {
	First      int `json:"first,omitempty"`
	Thereafter int `json:"thereafter,omitempty"`
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
	if len(data) > maxBytes {
		return s, invalid("", "larger than %d bytes; check that it is a settings file", maxBytes)
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
