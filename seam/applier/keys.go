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

// IssueKey stores the record of a new key and returns the object written. It
// replaces any record with the same digest.
func (a *Applier) IssueKey(ctx context.Context, record authenticator.Record) (storer.Object, error) {
	return a.changeKey(ctx, record.Digest, func(authenticator.Record) authenticator.Record { return record })
}

// WithdrawKey marks a key as withdrawn and returns its object in the store.
// Withdrawing a key again changes nothing.
func (a *Applier) WithdrawKey(ctx context.Context, digest authenticator.Digest) (storer.Object, error) {
	return a.changeKey(ctx, digest, func(r authenticator.Record) authenticator.Record {
		r.Withdrawn = true
		return r
	})
}

// ExpireKey makes a key expire at a time and returns its object in the store. In a
// rotation, the old key can thus be used beside the new key for some time. If the key
// already expires before that time, ExpireKey changes nothing.
func (a *Applier) ExpireKey(ctx context.Context, digest authenticator.Digest, at time.Time) (storer.Object, error) {
	return a.changeKey(ctx, digest, func(r authenticator.Record) authenticator.Record {
		if r.Expires == nil || at.Before(*r.Expires) {
			r.Expires = &at
		}
		return r
	})
}

// changeKey reads the record of a key, applies change and writes the result, on the
// condition that the record hasn't changed in the store meanwhile. It returns the
// object in the store. It retries store errors until ctx ends, so change must be
// idempotent.
func (a *Applier) changeKey(
	ctx context.Context, digest authenticator.Digest, change func(authenticator.Record) authenticator.Record,
) (storer.Object, error) {
	mayBeWritten := false
	for attempt := 0; ; attempt++ {
		o, err := a.attemptKey(ctx, digest, change, &mayBeWritten)
		if err == nil || !retryable(err) {
			return o, err
		}
		if !a.backOff(ctx, attempt) {
			return storer.Object{}, outcomeError(err, mayBeWritten)
		}
	}
}

// attemptKey makes one attempt to change a key and returns the object in the store. It
// writes nothing if the record stays the same. It sets mayBeWritten if the outcome of
// the write is unknown.
func (a *Applier) attemptKey(
	ctx context.Context, digest authenticator.Digest, change func(authenticator.Record) authenticator.Record, mayBeWritten *bool,
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
	changedRecord := change(record)
	if changedRecord.Team == "" {
		return storer.Object{}, coder.Errorf(coder.StoreNotFound, digest.String(), "no such key")
	}
	value, err := json.Marshal(changedRecord)
	if err != nil {
		return storer.Object{}, fmt.Errorf("encode key: %w", err)
	}
	if string(value) == string(o.Value) {
		return o, nil
	}
	object := storer.Object{Kind: storer.KindKey, Name: digest.String(), Version: o.Version, Value: value}
	o, err = a.store.Put(ctx, object)
	if coder.CodeOf(err) == coder.StoreOutcomeUnknown {
		*mayBeWritten = true
	}
	return object.WithVersion(o.Version), err
}
