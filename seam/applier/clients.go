package applier

import (
	"context"
	"encoding/json"
	"fmt"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/locator"
	"primroseseam.org/seam/storer"
)

// PublishClientMap replaces the client map by a builder's blocks. Shards are
// written under names that the map in force doesn't use, then the manifest is
// replaced conditionally: instances see the old map or the new one, whole.
func (a *Applier) PublishClientMap(ctx context.Context, b *locator.Builder) (storer.Object, error) {
	written := false
	for try := 0; ; try++ {
		o, err := a.tryClients(ctx, b, &written)
		if err == nil || !transient(err) {
			return o, err
		}
		if !a.pause(ctx, try) {
			return storer.Object{}, unsettled(err, written)
		}
	}
}

func (a *Applier) tryClients(ctx context.Context, b *locator.Builder, written *bool) (storer.Object, error) {
	current, err := a.store.Get(ctx, storer.KindClientMap, locator.ManifestName)
	if err != nil && coder.CodeOf(err) != coder.StoreNotFound {
		return storer.Object{}, err
	}
	var inForce locator.Manifest
	if current.Version > 0 {
		if err := json.Unmarshal(current.Value, &inForce); err != nil {
			return storer.Object{}, coder.Errorf(coder.ConfigInvalid, locator.ManifestName, "decode manifest: %w", err)
		}
	}
	manifest, shards, err := b.Split(inForce)
	if err != nil {
		return storer.Object{}, coder.Errorf(coder.ConfigInvalid, "", "%w", err)
	}
	value, err := json.Marshal(manifest)
	if err != nil {
		return storer.Object{}, fmt.Errorf("encode manifest: %w", err)
	}
	if string(value) == string(current.Value) {
		return current, nil
	}
	for _, shard := range shards {
		if err := a.writeShard(ctx, shard); err != nil {
			return storer.Object{}, err
		}
	}
	o := storer.Object{Kind: storer.KindClientMap, Name: locator.ManifestName, Version: current.Version, Value: value}
	stored, err := a.store.Put(ctx, o)
	if coder.CodeOf(err) == coder.StoreOutcomeUnknown {
		*written = true
	}
	return o.WithVersion(stored.Version), err
}

// writeShard overwrites an unused shard.
func (a *Applier) writeShard(ctx context.Context, shard locator.Object) error {
	o, err := a.store.Get(ctx, storer.KindClientMap, shard.Name)
	if err != nil && coder.CodeOf(err) != coder.StoreNotFound {
		return err
	}
	if string(o.Value) == string(shard.Value) {
		return nil
	}
	_, err = a.store.Put(ctx, storer.Object{
		Kind: storer.KindClientMap, Name: shard.Name, Version: o.Version, Value: shard.Value,
	})
	return err
}
