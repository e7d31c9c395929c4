package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
)

// reloadable holds the settings that change during the test.
type reloadable struct {
	retryRatio float64
	retryExtra int
	lookupTTL  float64
	// regionShift holds one number, or none for the default. The numbers below are 0 for the default.
	regionShift    []float64
	graceSeconds   int
	linesPerSecond int
	collectPercent int
	// memoryMB needs a restart: a reload leaves the instance's own in force.
	memoryMB int
}

func defaultReloadable(memoryMB int) reloadable {
	return reloadable{
		retryRatio: 0.2, retryExtra: 60, lookupTTL: lookupTTL.Seconds(), regionShift: []float64{}, graceSeconds: graceSeconds, memoryMB: memoryMB,
	}
}

// settingsChanges lists the changes of one setting each. None makes a rule of the test too strict.
var settingsChanges = []struct {
	name   string
	change func(r *reloadable, rng *rand.Rand)
}{
	{"bounds.retryRatio", func(r *reloadable, rng *rand.Rand) { r.retryRatio = 0.1 + 0.2*rng.Float64() }},
	{"bounds.retryExtra", func(r *reloadable, rng *rand.Rand) { r.retryExtra = 30 + rng.IntN(60) }},
	{"bounds.lookupTtl", func(r *reloadable, rng *rand.Rand) { r.lookupTTL = 1 + rng.Float64() }},
	{"bounds.regionShift", func(r *reloadable, rng *rand.Rand) { r.regionShift = []float64{0.1 + 0.3*rng.Float64()} }},
	{"bounds.grace", func(r *reloadable, rng *rand.Rand) { r.graceSeconds = graceSeconds - rng.IntN(2) }},
	{"log.linesPerSecond", func(r *reloadable, rng *rand.Rand) { r.linesPerSecond = 10 + rng.IntN(200) }},
	{"memory.collectPercent", func(r *reloadable, rng *rand.Rand) { r.collectPercent = 50 + rng.IntN(100) }},
	{"memory.limitMb", func(r *reloadable, rng *rand.Rand) { r.memoryMB += 1 + rng.IntN(64) }},
}

// writeSettings writes the instance's settings file.
func (i *instance) writeSettings(r reloadable) error {
	regionShift, err := json.Marshal(r.regionShift)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	data := fmt.Sprintf(`{"instance":{"id":%q,"zone":%q},"zones":{"zone-0":"region-0","zone-1":"region-1"},
"listen":{"callers":%q,"ready":%q,"lookups":%q,"peers":%q,"metrics":%q},"store":%q,"seeds":[%q],
"bounds":{"retryRatio":%g,"retryExtra":%d,"grace":%d,"lookupTtl":%g,"regionShift":%s},
"log":{"linesPerSecond":%d},"memory":{"limitMb":%d,"collectPercent":%d}}`,
		i.id, zoneOf(i.index), i.address(portCallers), i.address(portReady), i.address(portLookups), i.address(portPeers), i.address(portMetrics),
		i.store.Address(), i.soak.address(0, portPeers), r.retryRatio, r.retryExtra, r.graceSeconds, r.lookupTTL, regionShift,
		r.linesPerSecond, r.memoryMB, r.collectPercent)
	if err := os.WriteFile(i.settingsPath, []byte(data), 0o600); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return nil
}

// changeSettings changes one setting of an instance, lets the instance reload it, and writes the settings
// of the start again, so that a restart takes those.
func changeSettings(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := pick(rng, s.instances)
	c := pick(rng, settingsChanges)
	r := defaultReloadable(s.memoryMB)
	c.change(&r, rng)
	s.logf("%s reloads %s: %+v", i.id, c.name, r)
	if err := i.writeSettings(r); err != nil {
		s.logf("%v", err)
		return
	}
	i.signal(syscall.SIGHUP)
	waitUntilApplied(ctx, rng)()
	if err := i.writeSettings(defaultReloadable(s.memoryMB)); err != nil {
		s.logf("%v", err)
	}
}
