package edger

import (
	"bytes"
	"encoding/json"
	"math"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/conductor"
)

// Settings holds the contents of an edge instance's settings file. Durations are in
// seconds.
type Settings struct {
	Instance InstanceSettings  `json:"instance"`
	Zones    map[string]string `json:"zones"`
	Listen   ListenSettings    `json:"listen"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Seeds are the hosts of some other instances, to which heartbeats are sent from the
	// start. If a seed has a port, it is ignored, since all instances listen for other
	// instances on the same port.
	Seeds  []string       `json:"seeds"`
	Bounds BoundsSettings `json:"bounds"`
	Log    LogSettings    `json:"log"`
	Memory MemorySettings `json:"memory"`
	// Descriptors is the number of files and sockets that the process may have open. Its
	// default is the operating system's limit.
	Descriptors int `json:"descriptors"`
}

// InstanceSettings identifies the instance and its zone.
type InstanceSettings struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
}

// ListenSettings holds the addresses, HOST:PORT, on which the instance listens. There is
// one for each kind of client. Metrics may be empty.
type ListenSettings struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Lookups string `json:"lookups"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
}

// BoundsSettings holds the limits that the operators of the platform set for the load
// balancer.
type BoundsSettings struct {
	// RetryRatio and RetryExtra limit the retries of each service's requests, over all
	// instances together. RetryRatio is a fraction of the service's requests. RetryExtra
	// is the number of retries that are allowed in addition.
	RetryRatio float64 `json:"retryRatio"`
	RetryExtra float64 `json:"retryExtra"`
	// RegionShift limits the part of a region's requests that may change the region in which
	// they run from one period of two seconds to the next. It is a list of one number, or an empty
	// one for no limit, so that a template can leave the number out.
	RegionShift []float64 `json:"regionShift"`
	// Grace is how long the instance may keep running after SIGTERM.
	Grace float64 `json:"grace"`
	// LookupTTL limits how long callers may use the answer to a look-up.
	LookupTTL float64 `json:"lookupTtl"`
}

// regionShift returns the number in RegionShift, or 0 if there is none.
func (b BoundsSettings) regionShift() float64 {
	if len(b.RegionShift) == 0 {
		return 0
	}
	return b.RegionShift[0]
}

// LogSettings limits the log.
type LogSettings struct {
	// LinesPerSecond limits the routine log lines, which are about successful requests
	// and first attempts.
	LinesPerSecond int `json:"linesPerSecond"`
}

// MemorySettings controls the memory use of the Go runtime.
type MemorySettings struct {
	// LimitMB is the memory of the instance in megabytes.
	LimitMB int `json:"limitMb"`
	// CollectPercent is how much the heap may grow, in percent, before the garbage
	// collector runs again.
	CollectPercent int `json:"collectPercent"`
	// ClientsPercent is the part of LimitMB, in percent, for what clients make the instance
	// hold.
	ClientsPercent int `json:"clientsPercent"`
}

// Defaults of settings that are omitted or 0.
const (
	defaultLinesPerSecond = 200
	defaultCollectPercent = 60
	defaultClientsPercent = 25
	defaultLimitMB        = 256
	defaultGrace          = 6.0
	defaultLookupTTL      = 5.0
)

// maxClientsPercent is the largest valid part of the memory for what clients make the instance
// hold. The rest is for everything else and for garbage.
const maxClientsPercent = 50

// minDescriptors is the smallest valid number of file descriptors. With fewer, none would
// be left for callers after those that the instance needs itself.
const minDescriptors = 512

// LoadSettings reads a settings file, sets defaults and validates the result. Its errors
// have the code [coder.SettingsInvalid] and name the invalid field, or the file if it
// can't be read.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, coder.Errorf(coder.SettingsInvalid, path, "can't be read: %v", err)
	}
	return ParseSettings(data)
}

// ParseSettings decodes settings from JSON, sets defaults and validates the result.
func ParseSettings(data []byte) (Settings, error) {
	var s Settings
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, coder.Errorf(coder.SettingsInvalid, "settings", "is not valid JSON: %v", err)
	}
	s.setDefaults()
	return s, s.validate()
}

func (s *Settings) setDefaults() {
	if s.Log.LinesPerSecond == 0 {
		s.Log.LinesPerSecond = defaultLinesPerSecond
	}
	if s.Memory.CollectPercent == 0 {
		s.Memory.CollectPercent = defaultCollectPercent
	}
	if s.Memory.ClientsPercent == 0 {
		s.Memory.ClientsPercent = defaultClientsPercent
	}
	if s.Memory.LimitMB == 0 {
		s.Memory.LimitMB = defaultLimitMB
	}
	if s.Bounds.Grace == 0 {
		s.Bounds.Grace = defaultGrace
	}
	if s.Bounds.LookupTTL == 0 {
		s.Bounds.LookupTTL = defaultLookupTTL
	}
	if s.Descriptors == 0 {
		s.Descriptors = descriptorLimit()
	}
}

// descriptorLimit returns the operating system's limit on open files of the process.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return minDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

func (s *Settings) validate() error {
	invalid := func(path, format string, args ...any) error {
		return coder.Errorf(coder.SettingsInvalid, path, format, args...)
	}
	if s.Instance.ID == "" {
		return invalid("instance.id", "must not be empty")
	}
	if _, ok := s.Zones[s.Instance.Zone]; !ok {
		return invalid("instance.zone", "%q is not in zones", s.Instance.Zone)
	}
	addresses := map[string]string{
		"listen.callers": s.Listen.Callers, "listen.ready": s.Listen.Ready, "listen.lookups": s.Listen.Lookups,
		"listen.peers": s.Listen.Peers, "store": s.Store,
	}
	if s.Listen.Metrics != "" {
		addresses["listen.metrics"] = s.Listen.Metrics
	}
	for path, a := range addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return invalid(path, "%q is not HOST:PORT", a)
		}
	}
	if len(s.Bounds.RegionShift) > 1 {
		return invalid("bounds.regionShift", "must have one number at most")
	}
	numbers := map[string]float64{
		"bounds.retryRatio": s.Bounds.RetryRatio, "bounds.retryExtra": s.Bounds.RetryExtra, "bounds.regionShift": s.Bounds.regionShift(), "bounds.grace": s.Bounds.Grace,
		"log.linesPerSecond": float64(s.Log.LinesPerSecond), "memory.limitMb": float64(s.Memory.LimitMB),
	}
	for path, n := range numbers {
		if n < 0 {
			return invalid(path, "must not be negative")
		}
	}
	if s.Memory.ClientsPercent < 1 || s.Memory.ClientsPercent > maxClientsPercent {
		return invalid("memory.clientsPercent", "must be from 1 to %d", maxClientsPercent)
	}
	if s.Descriptors < minDescriptors {
		return invalid("descriptors", "must be at least %d", minDescriptors)
	}
	return nil
}

// peerAddresses returns the addresses at which the seeds listen for other instances. Since
// all instances use the same port, it joins the host of each seed with this instance's
// port. It leaves out this instance's own address.
func (s *Settings) peerAddresses() []string {
	_, port, _ := net.SplitHostPort(s.Listen.Peers)
	var list []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		if a := net.JoinHostPort(host, port); a != s.Listen.Peers && host != "" && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

func (s *Settings) conductorBounds() conductor.Bounds {
	return conductor.Bounds{RetryRatio: s.Bounds.RetryRatio, RetryExtra: s.Bounds.RetryExtra, RegionShift: s.Bounds.regionShift()}
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
