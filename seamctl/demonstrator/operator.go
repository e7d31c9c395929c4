package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seam/waiter"
)

// operatorRetryDelay is the delay before a failed configuration change is retried.
const operatorRetryDelay = 100 * time.Millisecond

// operator changes the configuration and the API keys in the store, as a person who
// operates the system would do with seamctl.
type operator struct {
	store storer.Store
}

// changeConfig applies a change to the stored configuration. After any error, it reads the
// configuration again and retries, until the store has accepted the change or ctx is done.
func (o operator) changeConfig(ctx context.Context, change func(*configurer.Document)) error {
	for {
		err := o.tryChange(ctx, change)
		if err == nil || ctx.Err() != nil {
			return err
		}
		waiter.Pause(ctx, operatorRetryDelay)
	}
}

// tryChange reads the configuration from the store, applies the change to it and writes it
// back. It doesn't retry.
func (o operator) tryChange(ctx context.Context, change func(*configurer.Document)) error {
	current, err := o.store.Get(ctx, storer.KindConfig, storer.ConfigName)
	if err != nil {
		return err
	}
	var doc configurer.Document
	if err := json.Unmarshal(current.Value, &doc); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	change(&doc)
	value, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	return o.write(ctx, current.WithValue(value))
}

// write writes an object to the store. If the store's response to the write is lost, it
// reads the object back, and returns nil if the stored value is the one that was written.
func (o operator) write(ctx context.Context, object storer.Object) error {
	_, err := o.store.Put(ctx, object)
	if coder.CodeOf(err) != coder.StoreOutcomeUnknown {
		return err
	}
	found, readErr := o.store.Get(ctx, object.Kind, object.Name)
	if readErr == nil && bytes.Equal(compactJSON(found.Value), compactJSON(object.Value)) {
		return nil
	}
	return err
}

// compactJSON returns the value without insignificant whitespace, or unchanged if it
// isn't valid JSON.
func compactJSON(value json.RawMessage) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, value); err != nil {
		return value
	}
	return b.Bytes()
}

// issueKey issues an API key for a team. It returns the secret and the stored record.
func (o operator) issueKey(ctx context.Context, team string) (string, authenticator.Record, error) {
	secret, record, err := authenticator.Issue(team, time.Now())
	if err != nil {
		return "", record, err
	}
	return secret, record, o.writeKey(ctx, record, 0)
}

// withdrawKey marks a key as withdrawn in the store.
func (o operator) withdrawKey(ctx context.Context, record authenticator.Record) error {
	current, err := o.store.Get(ctx, storer.KindKey, record.Digest.String())
	if err != nil {
		return err
	}
	record.Withdrawn = true
	return o.writeKey(ctx, record, current.Version)
}

// writeKey writes the record of a key to the store. version is the record's current version
// in the store, or 0 for a new key; the write fails if the store has another version.
func (o operator) writeKey(ctx context.Context, record authenticator.Record, version int64) error {
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode key record: %w", err)
	}
	return o.write(ctx, storer.Object{Kind: storer.KindKey, Name: record.Digest.String(), Version: version, Value: value})
}
