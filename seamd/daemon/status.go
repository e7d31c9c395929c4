package daemon

import (
	"github.com/kataras/iris/v12"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/configurer"
)

// appliedState is the configuration and the keys that the decision loop uses.
type appliedState struct {
	config *configurer.Config
	// keys holds the versions of the keys' records in the store, by the keys' digests.
	keys     map[string]int64
	keyCount int
}

// setAppliedConfig records that the loop uses a configuration. It runs on the loop's
// goroutine.
func (d *Daemon) setAppliedConfig(c *configurer.Config) {
	next := *d.appliedState.Load()
	next.config = c
	d.appliedState.Store(&next)
}

// setAppliedKeys records that the loop uses a keyring of records with these versions. It
// runs on the loop's goroutine.
func (d *Daemon) setAppliedKeys(versions map[string]int64, count int) {
	next := *d.appliedState.Load()
	next.keys = versions
	next.keyCount = count
	d.appliedState.Store(&next)
}

// Status returns the state of this instance for operators. If key is the digest of a
// key, the status includes the version of that key's record.
func (d *Daemon) Status(key string) applier.InstanceStatus {
	now := d.appliedState.Load()
	replication := d.replication.state()
	s := applier.InstanceStatus{
		Instance:         d.settings.Instance.ID,
		Incarnation:      d.incarnation,
		Region:           d.settings.Instance.Region,
		Leaving:          d.leaving.Load(),
		Keys:             now.keyCount,
		KeyVersion:       now.keys[key],
		KeyEvidenceAgeMS: replication.evidenceAge.Milliseconds(),
		StoreReachable:   replication.storeReachable,
		Watcher:          replication.watching,
		ClientMapVersion: d.clientMap.version.Load(),
	}
	if now.config != nil {
		s.ConfigVersion = now.config.Version()
		s.ChangeID = now.config.Change().ID
		s.Sequence = now.config.Change().Sequence
	}
	return s
}

// serveStatus answers with the status of this instance. It reveals nothing about single
// keys except for the version of the one whose digest the client gives.
func (d *Daemon) serveStatus(ctx iris.Context) {
	_ = ctx.JSON(d.Status(ctx.URLParam("key")))
}
