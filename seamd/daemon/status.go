package daemon

import (
	"github.com/kataras/iris/v12"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/configurer"
)

// inForce is what the decision loop has taken.
type inForce struct {
	config *configurer.Config
	// keys holds the versions of the keys' records by digest.
	keys    map[string]int64
	keyring int
}

// configInForce notes that the loop runs a configuration.
func (d *Daemon) configInForce(c *configurer.Config) {
	next := *d.inForce.Load()
	next.config = c
	d.inForce.Store(&next)
}

// keysInForce notes that the loop uses a keyring made of these records.
func (d *Daemon) keysInForce(versions map[string]int64, count int) {
	next := *d.inForce.Load()
	next.keys = versions
	next.keyring = count
	d.inForce.Store(&next)
}

// Status describes this instance to operators; key is the digest of a key whose
// version is wanted, or empty.
func (d *Daemon) Status(key string) applier.InstanceStatus {
	now := d.inForce.Load()
	spread := d.spread.state()
	s := applier.InstanceStatus{
		Instance:         d.settings.Instance.ID,
		Incarnation:      d.incarnation,
		Region:           d.settings.Instance.Region,
		Leaving:          d.leaving.Load(),
		Keys:             now.keyring,
		KeyVersion:       now.keys[key],
		KeyEvidenceAgeMS: spread.evidenceAge.Milliseconds(),
		StoreReachable:   spread.storeReachable,
		Watcher:          spread.watching,
		ClientMapVersion: d.clients.version.Load(),
	}
	if now.config != nil {
		s.ConfigVersion = now.config.Version()
		s.ChangeID = now.config.Change().ID
		s.Sequence = now.config.Change().Sequence
	}
	return s
}

// serveStatus says which versions are in force here. The page names no key but
// the one that it is asked about by its digest.
func (d *Daemon) serveStatus(ctx iris.Context) {
	_ = ctx.JSON(d.Status(ctx.URLParam("key")))
}
