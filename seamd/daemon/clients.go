package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"sync/atomic"

	"go.uber.org/zap"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/locator"
	"primroseseam.org/seam/storer"
)

// clients keeps the table that maps callers' addresses to regions. A new table
// is built beside the one in use and swapped in whole.
type clients struct {
	daemon  *Daemon
	table   atomic.Pointer[locator.Table]
	version atomic.Int64
	wake    chan struct{}
	// objects is guarded by the spread's lock.
	objects map[string]storer.Object
}

func newClients(d *Daemon) *clients {
	return &clients{daemon: d, wake: make(chan struct{}, 1), objects: map[string]storer.Object{}}
}

// region returns the region of an address, or "".
func (c *clients) region(addr netip.Addr) string {
	region, _ := c.table.Load().Region(addr)
	return region
}

// takeClients notes changed shards and manifests. The caller holds the lock of
// the spread.
func (d *Daemon) takeClients(objects []storer.Object) {
	changed := false
	for _, o := range objects {
		if o.Kind == storer.KindClientMap {
			d.clients.objects[o.Name] = o
			changed = true
		}
	}
	if changed {
		d.clients.wakeUp()
	}
}

func (c *clients) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run builds tables until ctx ends.
func (c *clients) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
			c.build()
		}
	}
}

// build makes a table of the configuration's blocks and the client map. While a
// shard of the manifest is missing, the table in use stays.
func (c *clients) build() {
	c.daemon.spread.mu.Lock()
	objects := maps.Clone(c.objects)
	c.daemon.spread.mu.Unlock()
	extra := locator.NewBuilder()
	if config := c.daemon.config.Load(); config != nil {
		addConfigured(extra, config)
	}
	manifest, version := locator.Manifest{}, int64(0)
	if o, ok := objects[locator.ManifestName]; ok {
		if err := json.Unmarshal(o.Value, &manifest); err != nil {
			c.daemon.log.Error("lookup: ignored an invalid manifest", zap.Int64("version", o.Version), zap.Error(err))
			return
		}
		version = o.Version
	}
	table, err := locator.Join(manifest, func(name string) []byte { return objects[name].Value }, extra)
	if err != nil {
		c.daemon.log.Info("lookup: client map incomplete", zap.Int64("version", version), zap.Error(err))
		return
	}
	c.table.Store(table)
	c.version.Store(version)
	c.daemon.log.Info("lookup: client map in force", zap.Int64("version", version), zap.Int("blocks", table.Blocks()))
}

// addConfigured adds the blocks of the configuration's regions.
func addConfigured(b *locator.Builder, config *configurer.Config) {
	for _, r := range config.Regions() {
		for _, cidr := range r.ClientBlocks {
			if prefix, err := netip.ParsePrefix(cidr); err == nil {
				_ = b.Add(prefix, r.Name)
			}
		}
	}
}
