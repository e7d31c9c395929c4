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

// The times between two reads of the instance list.
const (
	// instancesEvery holds until a peer has been heard.
	instancesEvery = time.Second
	// instancesEveryWatching holds for the watchers of the store.
	instancesEveryWatching = 5 * time.Second
	// instancesEveryJoined is the mean for all others.
	instancesEveryJoined = 30 * time.Second
)

// countStoreCall counts a call to the platform's service.
func (d *Daemon) countStoreCall(c storer.Call) {
	labels := fmt.Sprintf(`{method=%q,kind=%q,result=%q}`, c.Method, string(c.Kind), c.Result)
	d.metrics.GetOrCreateCounter(metricStoreCalls + labels).Inc()
	if c.Method != "watch" {
		d.metrics.GetOrCreateHistogram(metricStoreSeconds).Update(c.Took.Seconds())
	}
}

// readKind lists a kind or watches it, as the call says.
func (d *Daemon) readKind(ctx context.Context, call spreader.ReadStore) (storer.Events, error) {
	if call.Position < 0 {
		return d.store.List(ctx, call.Kind)
	}
	return d.store.Watch(ctx, call.Kind, call.Position, call.Wait)
}

// install puts newer objects in force. The caller keeps their order: no older
// version of an object comes after a newer one.
func (d *Daemon) install(objects []storer.Object) {
	var keys []storer.Object
	for _, o := range objects {
		if o.Kind == storer.KindKey {
			keys = append(keys, o)
		}
	}
	d.takeKeys(keys)
	d.takeClients(objects)
	for _, o := range objects {
		if o.Kind == storer.KindConfig && o.Name == storer.ConfigName {
			d.takeConfig(o)
		}
	}
}

func (d *Daemon) takeConfig(o storer.Object) {
	c, err := configurer.Parse(o.Value, o.Version)
	if err != nil {
		d.log.Error("config: ignored an invalid version", zap.Int64("version", o.Version), zap.Error(err))
		return
	}
	c = d.weakened(c)
	d.config.Store(c)
	d.forwarder.SetConnectionLimits(connectionLimits(c))
	d.clients.wakeUp()
	d.loop.sendThen(decider.ConfigChanged{Config: c}, func() {
		d.configInForce(c)
		d.log.Info("config: in force", zap.Int64("version", o.Version), zap.String("change", c.Change().ID))
	})
}

// takeKeys merges changed keys into those known.
func (d *Daemon) takeKeys(objects []storer.Object) {
	if len(objects) == 0 {
		return
	}
	for _, o := range objects {
		r, err := authenticator.ParseRecord(o.Value)
		if err != nil {
			d.log.Error("key: ignored an invalid record", zap.String("name", o.Name), zap.Error(err))
			continue
		}
		r.Withdrawn = r.Withdrawn && d.without != KeyWithdrawal
		d.keyRecords[o.Name] = r
		d.keyVersions[o.Name] = o.Version
	}
	records := make([]authenticator.Record, 0, len(d.keyRecords))
	for _, r := range d.keyRecords {
		records = append(records, r)
	}
	ring := authenticator.NewKeyring(records)
	versions := maps.Clone(d.keyVersions)
	d.loop.sendThen(decider.KeysChanged{Keys: ring}, func() {
		d.keysInForce(versions, ring.Len())
		d.log.Info("key: ring in force", zap.Int("keys", ring.Len()))
	})
}

// watchInstances passes the platform's instance list to the membership.
func (d *Daemon) watchInstances(ctx context.Context) {
	for ctx.Err() == nil {
		if list, err := d.store.Instances(ctx); err == nil {
			d.membership.setListed(list)
		}
		d.sleep(ctx, d.instancesWait())
	}
}

// instancesWait caps the calls for the list: once peers are heard the list only
// hints, so most instances need it seldom.
func (d *Daemon) instancesWait() time.Duration {
	if !d.membership.joined() {
		return instancesEvery
	}
	if d.spread.state().watching {
		return instancesEveryWatching
	}
	return instancesEveryJoined/2 + time.Duration(rand.Int64N(int64(instancesEveryJoined)))
}

// publishTable swaps in a look-up table of the members that may be used.
func (d *Daemon) publishTable(members []gossiper.Member, s steering) {
	var entries []steerer.Instance
	for _, m := range members {
		entries = append(entries, steerer.Instance{ID: m.ID, Region: m.Region, Address: m.CallerAddress})
	}
	var blocks []steerer.Block
	if c := d.config.Load(); c != nil {
		blocks = clientBlocks(c)
	}
	d.table.Store(steerer.NewTable(entries, blocks).WithShares(s.shares, s.silent))
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
