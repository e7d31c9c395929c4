package loader

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"go.uber.org/zap/zapcore"

	"primroseseam.org/seam/coder"
)

// maxNameBytes is the maximum length of the names of the instance, its region and its
// failure domain.
const maxNameBytes = 100

// check returns an error for the first invalid setting, or nil.
func (s Settings) check() error {
	checks := []func() error{
		s.checkInstance, s.checkListen, s.checkPeers, s.checkPlatform, s.checkShutdown, s.checkLog, s.Security.check,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// invalid returns a SettingsInvalid error for the setting at path. The message is
// formatted like that of fmt.Errorf.
func invalid(path, format string, args ...any) error {
	return coder.Errorf(coder.SettingsInvalid, path, format, args...)
}

func (s Settings) checkInstance() error {
	names := []struct{ path, value string }{
		{"instance.id", s.Instance.ID},
		{"instance.region", s.Instance.Region},
		{"instance.failureDomain", s.Instance.FailureDomain},
	}
	for _, n := range names {
		switch {
		case n.value == "":
			return invalid(n.path, "must not be empty; set a name")
		case len(n.value) > maxNameBytes:
			return invalid(n.path, "must not be longer than %d bytes", maxNameBytes)
		case strings.ContainsFunc(n.value, func(r rune) bool { return r <= ' ' || r == '/' || r > '~' }):
			return invalid(n.path, "%q contains a character that is not allowed in a name; use letters, digits, '-', '_' and '.'", n.value)
		}
	}
	return nil
}

func (s Settings) checkListen() error {
	addresses := []struct{ path, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.lookups", s.Listen.Lookups},
		{"listen.peers", s.Listen.Peers},
		{"listen.metrics", s.Listen.Metrics},
	}
	seen := map[netip.AddrPort]string{}
	for _, a := range addresses {
		address, err := netip.ParseAddrPort(a.value)
		if err != nil {
			return invalid(a.path, `%q is not an IP address with a port; write it as "10.0.0.1:8000"`, a.value)
		}
		if other, inUse := seen[address]; inUse && address.Port() != 0 {
			return invalid(a.path, "%q is already used by %s; each listener needs its own address", a.value, other)
		}
		seen[address] = a.path
	}
	return nil
}

func (s Settings) checkPeers() error {
	for i, address := range s.Peers {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return invalid(fmt.Sprintf("peers[%d]", i), `%q is not an IP address with a port; write it as "10.0.0.1:8002"`, address)
		}
	}
	if s.Membership.BytesPerSecond < 0 {
		return invalid("membership.bytesPerSecond", "must not be negative; 0 selects the default")
	}
	return nil
}

func (s Settings) checkPlatform() error {
	u, err := url.Parse(s.Platform.Address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return invalid("platform.address", `%q is not an http or https address; write it as "http://10.0.0.1:7000"`, s.Platform.Address)
	}
	return nil
}

func (s Settings) checkShutdown() error {
	if s.Shutdown.Linger < 0 {
		return invalid("shutdown.linger", `must not be negative; write it as "10s"`)
	}
	if s.Shutdown.Timeout < 0 {
		return invalid("shutdown.timeout", `must not be negative; write it as "30s"`)
	}
	return nil
}

func (s Settings) checkLog() error {
	if _, err := zapcore.ParseLevel(s.Log.Level); err != nil {
		return invalid("log.level", "%q is not a log level; use debug, info, warn or error", s.Log.Level)
	}
	if s.Log.Sampling.First < 0 {
		return invalid("log.sampling.first", "must not be negative; 0 selects the default")
	}
	if s.Log.Sampling.Thereafter < 0 {
		return invalid("log.sampling.thereafter", "must not be negative; 0 selects the default")
	}
	return nil
}
