package applier

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/storer"
)

// IssueKey stores the record of a new key and returns the object.
func (a *Applier) IssueKey(ctx context.Context, record authenticator.Record) (storer.Object, error) {
	return a.changeKey(ctx, record.Digest, func(authenticator.Record) authenticator.Record { return record })
}

// WithdrawKey marks a key as withdrawn and returns the object as it stands in
// the store. Withdrawing twice changes nothing.
func (a *Applier) WithdrawKey(ctx context.Context, digest authenticator.Digest) (storer.Object, error) {
	return a.changeKey(ctx, digest, func(r authenticator.Record) authenticator.Record {
		r.Withdrawn = true
		return r
	})
}

// ExpireKey lets a key work until a time, for the overlap of a rotation.
func (a *Applier) ExpireKey(ctx context.Context, digest authenticator.Digest, at time.Time) (storer.Object, error) {
	return a.changeKey(ctx, digest, func(r authenticator.Record) authenticator.Record {
		if r.Expires == nil || at.Before(*r.Expires) {
			r.Expires = &at
		}
		return r
	})
}

// changeKey reads a record, changes it and writes it back until that held.
// The change must give the same record if it is made twice.
func (a *Applier) changeKey(
	ctx context.Context, digest authenticator.Digest, change func(authenticator.Record) authenticator.Record,
) (storer.Object, error) {
	written := false
	for try := 0; ; try++ {
		o, err := a.tryKey(ctx, digest, change, &written)
		if err == nil || !transient(err) {
			return o, err
		}
		if !a.pause(ctx, try) {
			return storer.Object{}, unsettled(err, written)
		}
	}
}

func (a *Applier) tryKey(
	ctx context.Context, digest authenticator.Digest, change func(authenticator.Record) authenticator.Record, written *bool,
) (storer.Object, error) {
	o, err := a.store.Get(ctx, storer.KindKey, digest.String())
	if err != nil && coder.CodeOf(err) != coder.StoreNotFound {
		return storer.Object{}, err
	}
	var record authenticator.Record
	if o.Version > 0 {
		if record, err = authenticator.ParseRecord(o.Value); err != nil {
			return storer.Object{}, err
		}
	}
	changed := change(record)
	if changed.Team == "" {
		return storer.Object{}, coder.Errorf(coder.StoreNotFound, digest.String(), "no such key")
	}
	value, err := json.Marshal(changed)
	if err != nil {
		return storer.Object{}, fmt.Errorf("encode key: %w", err)
	}
	if string(value) == string(o.Value) {
		return o, nil
	}
	object := storer.Object{Kind: storer.KindKey, Name: digest.String(), Version: o.Version, Value: value}
	o, err = a.store.Put(ctx, object)
	if coder.CodeOf(err) == coder.StoreOutcomeUnknown {
		*written = true
	}
	return object.WithVersion(o.Version), err
}
