package applier

import (
	"context"
	"encoding/json"
	"fmt"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/locator"
	"primroseseam.org/seam/storer"
)

// PublishClientMap replaces the client map, which maps client addresses to regions,
// with the address blocks of a builder. It returns the manifest object, which lists
// the shards of the map. PublishClientMap first writes the new shards under names
// that the current map doesn't use. It then replaces the manifest, on the condition
// that the manifest hasn't changed meanwhile. So instances use either the whole old
// map or the whole new map.
func (a *Applier) PublishClientMap(ctx context.Context, b *locator.Builder) (storer.Object, error) {
	mayBeWritten := false
	for attempt := 0; ; attempt++ {
		o, err := a.attemptClientMap(ctx, b, &mayBeWritten)
		if err == nil || !retryable(err) {
			return o, err
		}
		if !a.backOff(ctx, attempt) {
			return storer.Object{}, outcomeError(err, mayBeWritten)
		}
	}
}

// attemptClientMap makes one attempt to publish the client map and returns the manifest
// object. It writes nothing if the store already has the same map. It sets
// mayBeWritten if the outcome of the write of the manifest is unknown.
func (a *Applier) attemptClientMap(ctx context.Context, b *locator.Builder, mayBeWritten *bool) (storer.Object, error) {
	current, err := a.store.Get(ctx, storer.KindClientMap, locator.ManifestName)
	if err != nil && coder.CodeOf(err) != coder.StoreNotFound {
		return storer.Object{}, err
	}
	var published locator.Manifest
	if current.Version > 0 {
		if err := json.Unmarshal(current.Value, &published); err != nil {
			return storer.Object{}, coder.Errorf(coder.ConfigInvalid, locator.ManifestName, "decode manifest: %w", err)
		}
	}
	manifest, shards, err := b.Split(published)
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
		*mayBeWritten = true
	}
	return o.WithVersion(stored.Version), err
}

// writeShard writes a shard that the current map doesn't use, unless the store
// already has the same value.
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
