package daemon

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seam/steerer"
	"primroseseam.org/seam/storer"
)

const (
	// watchWait is how long one watch waits for changes.
	watchWait = 10 * time.Second
	// storeRetryAfter is the wait after a failed call to the store.
	storeRetryAfter = 500 * time.Millisecond
	// instancesEvery is the time between two reads of the instance list.
	instancesEvery = time.Second
)

// watchStore follows the configuration and the keys until ctx ends.
func (d *Daemon) watchStore(ctx context.Context) {
	go d.watchKind(ctx, storer.KindConfig, d.takeConfig)
	d.watchKind(ctx, storer.KindKey, d.takeKeys)
}

// watchKind lists a kind, then watches it, and passes every object on.
func (d *Daemon) watchKind(ctx context.Context, kind storer.Kind, take func([]storer.Object)) {
	position := int64(-1)
	for ctx.Err() == nil {
		events, err := d.readKind(ctx, kind, position)
		if err != nil {
			if coder.Of(err) == coder.StoreCompacted {
				position = -1
			}
			d.log.Debug("store: no answer", zap.String("kind", string(kind)), zap.Error(err))
			d.sleep(ctx, storeRetryAfter)
			continue
		}
		position = events.Position
		take(events.Objects)
	}
}

func (d *Daemon) readKind(ctx context.Context, kind storer.Kind, position int64) (storer.Events, error) {
	if position < 0 {
		return d.store.List(ctx, kind)
	}
	return d.store.Watch(ctx, kind, position, watchWait)
}

func (d *Daemon) takeConfig(objects []storer.Object) {
	for _, o := range objects {
		c, err := configurer.Parse(o.Value, o.Version)
		if err != nil {
			d.log.Error("config: ignored an invalid version", zap.Int64("version", o.Version), zap.Error(err))
			continue
		}
		d.log.Info("config: in force", zap.Int64("version", o.Version))
		d.config.Store(c)
		d.loop.send(decider.ConfigChanged{Config: c})
	}
}

// takeKeys merges changed keys into those known.
func (d *Daemon) takeKeys(objects []storer.Object) {
	if len(objects) == 0 {
		return
	}
	for _, o := range objects {
		var r authenticator.Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			d.log.Error("key: ignored an invalid record", zap.String("name", o.Name), zap.Error(err))
			continue
		}
		d.keyRecords[o.Name] = r
	}
	records := make([]authenticator.Record, 0, len(d.keyRecords))
	for _, r := range d.keyRecords {
		records = append(records, r)
	}
	ring := authenticator.NewKeyring(records)
	d.log.Info("key: ring changed", zap.Int("keys", ring.Len()))
	d.loop.send(decider.KeysChanged{Keys: ring})
}

// watchInstances passes the platform's instance list to the membership.
func (d *Daemon) watchInstances(ctx context.Context) {
	for ctx.Err() == nil {
		if list, err := d.store.Instances(ctx); err == nil {
			d.membership.setListed(ctx, list)
		}
		d.sleep(ctx, instancesEvery)
	}
}

// publishTable swaps in a look-up table of the members that may be used.
func (d *Daemon) publishTable() {
	var entries []steerer.Instance
	for _, m := range d.membership.usable() {
		entries = append(entries, steerer.Instance{ID: m.ID, Region: m.Region, Address: m.CallerAddress})
	}
	var blocks []steerer.Block
	if c := d.config.Load(); c != nil {
		blocks = clientBlocks(c)
	}
	d.table.Store(steerer.NewTable(entries, blocks))
}

func clientBlocks(c *configurer.Config) []steerer.Block {
	var blocks []steerer.Block
	for _, r := range c.Regions() {
		for _, cidr := range r.ClientBlocks {
			if b, err := steerer.ParseBlock(cidr, r.Name); err == nil {
				blocks = append(blocks, b)
			}
		}
	}
	return blocks
}

func (d *Daemon) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(wait):
	}
}
