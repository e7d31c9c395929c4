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

// clientMap holds the table that maps callers' IP addresses to regions. The table is
// built from the configuration and from the client map: objects in the store that consist
// of a manifest and the shards which it lists. A new table is built while the current one
// is still in use, and then replaces it atomically.
type clientMap struct {
	daemon      *Daemon
	table       atomic.Pointer[locator.Table]
	version     atomic.Int64
	buildSignal chan struct{}
	// objects holds the manifest and the shards of the client map by name. It is
	// guarded by replication.mu.
	objects map[string]storer.Object
}

func newClientMap(d *Daemon) *clientMap {
	return &clientMap{daemon: d, buildSignal: make(chan struct{}, 1), objects: map[string]storer.Object{}}
}

// region returns the region of an address, or "" if the table has none for it.
func (c *clientMap) region(addr netip.Addr) string {
	region, _ := c.table.Load().Region(addr)
	return region
}

// updateClientMap stores the given objects that belong to the client map. If there are
// any, it requests a new table. The caller holds replication.mu.
func (d *Daemon) updateClientMap(objects []storer.Object) {
	changed := false
	for _, o := range objects {
		if o.Kind == storer.KindClientMap {
			d.clientMap.objects[o.Name] = o
			changed = true
		}
	}
	if changed {
		d.clientMap.requestBuild()
	}
}

// requestBuild makes [clientMap.run] build a new table. It doesn't block. Several calls
// may lead to a single build.
func (c *clientMap) requestBuild() {
	select {
	case c.buildSignal <- struct{}{}:
	default:
	}
}

// run builds a new table after each requestBuild, until ctx ends.
func (c *clientMap) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.buildSignal:
			c.build()
		}
	}
}

// build makes a table of the configuration's address blocks and the client map, and puts
// it in use. If the manifest is invalid, or one of its shards is missing or invalid, the
// current table stays in use.
func (c *clientMap) build() {
	c.daemon.replication.mu.Lock()
	objects := maps.Clone(c.objects)
	c.daemon.replication.mu.Unlock()
	builder := locator.NewBuilder()
	if config := c.daemon.config.Load(); config != nil {
		addConfiguredBlocks(builder, config)
	}
	manifest, version := locator.Manifest{}, int64(0)
	if o, ok := objects[locator.ManifestName]; ok {
		if err := json.Unmarshal(o.Value, &manifest); err != nil {
			c.daemon.log.Error("lookup: ignored an invalid client map manifest", zap.Int64("version", o.Version), zap.Error(err))
			return
		}
		version = o.Version
	}
	table, err := locator.Join(manifest, func(name string) []byte { return objects[name].Value }, builder)
	if err != nil {
		c.daemon.log.Info("lookup: client map is incomplete; keeping the current table", zap.Int64("version", version), zap.Error(err))
		return
	}
	c.table.Store(table)
	c.version.Store(version)
	c.daemon.log.Info("lookup: client map in force", zap.Int64("version", version), zap.Int("blocks", table.Blocks()))
}

// addConfiguredBlocks adds the client address blocks of the configured regions.
func addConfiguredBlocks(b *locator.Builder, config *configurer.Config) {
	for _, r := range config.Regions() {
		for _, cidr := range r.ClientBlocks {
			if prefix, err := netip.ParsePrefix(cidr); err == nil {
				_ = b.Add(prefix, r.Name)
			}
		}
	}
}
