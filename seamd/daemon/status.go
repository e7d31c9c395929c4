package daemon

import (
	"github.com/kataras/iris/v12"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/configurer"
)

// appliedState holds the configuration and the versions of the keys that the decision
// loop currently uses.
type appliedState struct {
	config *configurer.Config
	// keyVersions holds the versions of the keys' records in the store, by the keys' digests.
	keyVersions map[string]int64
	keyCount    int
}

// setAppliedConfig records the configuration that the loop uses from now on. It runs on
// the loop's goroutine.
func (d *Daemon) setAppliedConfig(c *configurer.Config) {
	next := *d.appliedState.Load()
	next.config = c
	d.appliedState.Store(&next)
}

// setAppliedKeys records the versions and the number of the keys that the loop uses from
// now on. It runs on the loop's goroutine.
func (d *Daemon) setAppliedKeys(versions map[string]int64, count int) {
	next := *d.appliedState.Load()
	next.keyVersions = versions
	next.keyCount = count
	d.appliedState.Store(&next)
}

// Status returns the state of this instance for operators. If key is the digest of a key
// in use, the status includes the version of that key's record in the store.
func (d *Daemon) Status(key string) applier.InstanceStatus {
	now := d.appliedState.Load()
	replication := d.replication.state()
	s := applier.InstanceStatus{
		Instance:         d.settings.Instance.ID,
		Incarnation:      d.incarnation,
		Region:           d.settings.Instance.Region,
		Leaving:          d.leaving.Load(),
		Keys:             now.keyCount,
		KeyVersion:       now.keyVersions[key],
		KeyEvidenceAgeMS: replication.evidenceAge.Milliseconds(),
		StoreReachable:   replication.storeReachable,
		Watcher:          replication.watchesStore,
		ClientMapVersion: d.clientMap.version.Load(),
	}
	if now.config != nil {
		s.ConfigVersion = now.config.Version()
		s.ChangeID = now.config.Change().ID
		s.Sequence = now.config.Change().Sequence
	}
	return s
}

// serveStatus answers with the status of this instance. Of a single key it reveals only
// the version, and only to a client that sends the digest of the key.
func (d *Daemon) serveStatus(ctx iris.Context) {
	_ = ctx.JSON(d.Status(ctx.URLParam("key")))
}
