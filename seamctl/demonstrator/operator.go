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

// operatorRetry is the wait before a failed write is tried again.
const operatorRetry = 100 * time.Millisecond

// operator changes the configuration and keys as an operator would.
type operator struct {
	store storer.Store
}

// changeConfig applies a change to the newest configuration until the store
// has accepted it.
func (o operator) changeConfig(ctx context.Context, change func(*configurer.Document)) error {
	for {
		err := o.tryChange(ctx, change)
		if err == nil || ctx.Err() != nil {
			return err
		}
		waiter.Pause(ctx, operatorRetry)
	}
}

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

// write puts an object; a lost answer is settled by reading back.
func (o operator) write(ctx context.Context, object storer.Object) error {
	_, err := o.store.Put(ctx, object)
	if coder.CodeOf(err) != coder.StoreOutcomeUnknown {
		return err
	}
	found, readErr := o.store.Get(ctx, object.Kind, object.Name)
	if readErr == nil && bytes.Equal(compacted(found.Value), compacted(object.Value)) {
		return nil
	}
	return err
}

func compacted(value json.RawMessage) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, value); err != nil {
		return value
	}
	return b.Bytes()
}

// issueKey makes a key for a team.
func (o operator) issueKey(ctx context.Context, team string) (string, authenticator.Record, error) {
	secret, record, err := authenticator.Issue(team, time.Now())
	if err != nil {
		return "", record, err
	}
	return secret, record, o.writeKey(ctx, record, 0)
}

// withdrawKey takes a key out of use.
func (o operator) withdrawKey(ctx context.Context, record authenticator.Record) error {
	current, err := o.store.Get(ctx, storer.KindKey, record.Digest.String())
	if err != nil {
		return err
	}
	record.Withdrawn = true
	return o.writeKey(ctx, record, current.Version)
}

func (o operator) writeKey(ctx context.Context, record authenticator.Record, version int64) error {
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	return o.write(ctx, storer.Object{Kind: storer.KindKey, Name: record.Digest.String(), Version: version, Value: value})
}
