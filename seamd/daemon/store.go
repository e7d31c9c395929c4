package daemon

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seam/gossiper"
	"primroseseam.org/seam/spreader"
	"primroseseam.org/seam/steerer"
	"primroseseam.org/seam/storer"
)

// Intervals between two reads of the platform's instance list.
const (
	// instanceListInterval applies until the instance has contact to a peer.
	instanceListInterval = time.Second
	// instanceListIntervalWatcher applies to the watchers of the store.
	instanceListIntervalWatcher = 5 * time.Second
	// instanceListIntervalJoined is the mean interval of all other instances.
	instanceListIntervalJoined = 30 * time.Second
)

// countStoreCall counts a call to the store and, except for a watch, which waits for
// changes, measures its time.
func (d *Daemon) countStoreCall(c storer.Call) {
	labels := fmt.Sprintf(`{method=%q,kind=%q,result=%q}`, c.Method, string(c.Kind), c.Result)
	d.metrics.GetOrCreateCounter(metricStoreCalls + labels).Inc()
	if c.Method != "watch" {
		d.metrics.GetOrCreateHistogram(metricStoreSeconds).Update(c.Took.Seconds())
	}
}

// readKind lists the objects of a kind if the call has no position, else it watches for
// changes after that position.
func (d *Daemon) readKind(ctx context.Context, call spreader.ReadStore) (storer.Events, error) {
	if call.Position < 0 {
		return d.store.List(ctx, call.Kind)
	}
	return d.store.Watch(ctx, call.Kind, call.Position, call.Wait)
}

// install applies newer objects. The caller passes them in order: never an older version
// of an object after a newer one. It holds the lock of the replication.
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

// applyConfig applies a version of the configuration. An invalid one is ignored.
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

// applyKeys merges changed keys into the known ones and sends the loop a new keyring.
// Invalid records are ignored.
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

// watchInstances reads the platform's instance list periodically and passes it to the
// membership.
func (d *Daemon) watchInstances(ctx context.Context) {
	for ctx.Err() == nil {
		if list, err := d.store.Instances(ctx); err == nil {
			d.membership.setInstanceList(list)
		}
		d.sleep(ctx, d.instanceListWait())
	}
}

// instanceListWait returns the delay before the next read of the instance list. Once
// there is contact to peers, the list only serves as hints, so most instances read it
// rarely. They do so with jitter, from half to one and a half times the mean interval.
func (d *Daemon) instanceListWait() time.Duration {
	if !d.membership.joined() {
		return instanceListInterval
	}
	if d.replication.state().watching {
		return instanceListIntervalWatcher
	}
	return instanceListIntervalJoined/2 + time.Duration(rand.Int64N(int64(instanceListIntervalJoined)))
}

// publishTable replaces the lookup table by one of the given members and the shares of
// the steering.
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

// sleep waits until the time has passed or ctx ends.
func (d *Daemon) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(wait):
	}
}
