package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seam/gossiper"
	"primroseseam.org/seam/labeler"
	"primroseseam.org/seam/spreader"
	"primroseseam.org/seam/steerer"
	"primroseseam.org/seam/storer"
)

// Intervals between two reads of the platform's instance list.
const (
	// instanceListInterval is used as long as the instance has no contact to peers.
	instanceListInterval = time.Second
	// instanceListIntervalWatcher is used by the watchers: the instances that read
	// objects from the store.
	instanceListIntervalWatcher = 5 * time.Second
	// instanceListIntervalJoined is the mean interval of the instances that have
	// contact to peers and aren't watchers.
	instanceListIntervalJoined = 30 * time.Second
)

// countStoreCall counts a call to the store and records its duration. The duration of a
// watch isn't recorded, because a watch waits for changes.
func (d *Daemon) countStoreCall(c storer.Call) {
	d.metrics.GetOrCreateCounter(labeler.Name(metricStoreCalls, labeler.Label{Name: "method", Value: c.Method},
		labeler.Label{Name: "kind", Value: string(c.Kind)}, labeler.Label{Name: "result", Value: c.Result.String()})).Inc()
	if c.Method != "watch" {
		d.metrics.GetOrCreateHistogram(metricStoreSeconds).Update(c.Took.Seconds())
	}
}

// readKind returns all objects of a kind if the call has no position (a negative one).
// Otherwise it waits for changes after the position and returns these.
func (d *Daemon) readKind(ctx context.Context, call spreader.ReadStore) (storer.Events, error) {
	if call.Position < 0 {
		return d.store.List(ctx, call.Kind)
	}
	return d.store.Watch(ctx, call.Kind, call.Position, call.Wait)
}

// install puts objects in force that are newer than the current ones. The caller must
// never pass an older version of an object after a newer one, and holds replication.mu.
func (d *Daemon) install(objects []storer.Object) {
	var keys []storer.Object
	for _, o := range objects {
		if o.Kind == storer.KindKey {
			keys = append(keys, o)
		}
	}
	d.applyKeys(keys)
	d.updateClientMap(objects)
	for _, o := range objects {
		if o.Kind == storer.KindConfig && o.Name == storer.ConfigName {
			d.applyConfig(o)
		}
	}
}

// applyConfig puts a version of the configuration in force. It ignores an invalid
// version.
func (d *Daemon) applyConfig(o storer.Object) {
	c, err := configurer.Parse(o.Value, o.Version)
	if err != nil {
		d.log.Error("config: ignored an invalid version", zap.Int64("version", o.Version), zap.Error(err))
		return
	}
	c = d.disableMechanism(c)
	d.config.Store(c)
	d.forwarder.SetConnectionLimits(connectionLimits(c))
	d.clientMap.requestBuild()
	d.loop.sendThen(decider.ConfigChanged{Config: c}, func() {
		d.setAppliedConfig(c)
		d.log.Info("config: in force", zap.Int64("version", o.Version), zap.String("change", c.Change().ID))
	})
}

// applyKeys adds new and changed key records to keyRecords and sends the loop a keyring
// of all records. It ignores invalid records.
func (d *Daemon) applyKeys(objects []storer.Object) {
	if len(objects) == 0 {
		return
	}
	for _, o := range objects {
		r, err := authenticator.ParseRecord(o.Value)
		if err != nil {
			d.log.Error("key: ignored an invalid record", zap.String("name", o.Name), zap.Error(err))
			continue
		}
		r.Withdrawn = r.Withdrawn && d.disabledMechanism != KeyWithdrawal
		d.keyRecords[o.Name] = r
		d.keyVersions[o.Name] = o.Version
	}
	records := make([]authenticator.Record, 0, len(d.keyRecords))
	for _, r := range d.keyRecords {
		records = append(records, r)
	}
	keyring := authenticator.NewKeyring(records)
	versions := maps.Clone(d.keyVersions)
	d.loop.sendThen(decider.KeysChanged{Keys: keyring}, func() {
		d.setAppliedKeys(versions, keyring.Len())
		d.log.Info("key: keyring in force", zap.Int("keys", keyring.Len()))
	})
}

// watchInstances reads the platform's instance list periodically, until ctx ends, and
// passes it to the membership.
func (d *Daemon) watchInstances(ctx context.Context) {
	for ctx.Err() == nil {
		if list, err := d.store.Instances(ctx); err == nil {
			d.membership.setInstanceList(list)
		}
		d.sleep(ctx, d.instanceListWait())
	}
}

// instanceListWait returns the delay before the next read of the instance list. An
// instance with contact to peers hardly needs the list, so it reads it rarely. Unless it
// is a watcher, its delay is random, from half to one and a half times the mean interval,
// so that the instances don't read all at once.
func (d *Daemon) instanceListWait() time.Duration {
	if !d.membership.hasPeerContact() {
		return instanceListInterval
	}
	if d.replication.state().watchesStore {
		return instanceListIntervalWatcher
	}
	return instanceListIntervalJoined/2 + time.Duration(rand.Int64N(int64(instanceListIntervalJoined)))
}

// publishTable replaces the lookup table. The new table contains the given members, the
// clients' address blocks and the shares of the steering.
func (d *Daemon) publishTable(members []gossiper.Member, s steering) {
	var entries []steerer.Instance
	for _, m := range members {
		entries = append(entries, steerer.Instance{ID: m.ID, Region: m.Region, Address: m.CallerAddress})
	}
	var blocks []steerer.Block
	if c := d.config.Load(); c != nil {
		blocks = clientBlocks(c)
	}
	d.lookupTable.Store(steerer.NewTable(entries, blocks).WithShares(s.shares, s.silentRegions))
}

// clientBlocks returns the client address blocks of the configured regions.
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

// sleep waits for the given duration, or until ctx ends.
func (d *Daemon) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(wait):
	}
}
