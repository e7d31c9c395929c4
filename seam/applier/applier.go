// Package applier writes an operator's changes to the platform's store and waits
// until every instance uses them. The operators' client seamctl uses it; the fleet
// daemon seamd uses only its type for the status of an instance.
//
// Accepted configuration changes are numbered by a sequence: the first has sequence
// 1. A proposed change has a unique id and the sequence of the configuration that it
// is based on. The write fails if the store has another version by then, so two
// operators can't overwrite each other's changes. Before a configuration is replaced,
// it is copied to the history, which is a ring of objects in the store. If the answer
// to a write is lost, the applier reads the change with the next sequence, from the
// store or the history, and compares its id with the id of the proposal.
//
// # Usage
//
//	a := applier.New(store)
//	accepted, err := a.Apply(ctx, applier.Proposal{ID: id, Base: 7, Document: doc})
//	var conflict *applier.ConflictError
//	if errors.As(err, &conflict) { show(conflict.Theirs(), conflict.Ours()) }
//
// Errors of Apply carry [coder.ConfigInvalid], [coder.ConfigConflict],
// [coder.StoreOutcomeUnknown] or [coder.StoreUnavailable]. The Wait methods of
// [Awaiter] fail with [coder.ConfigNotInForce]. A change to an unknown key fails with
// [coder.StoreNotFound].
package applier

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
)

const (
	// retryBase is the upper limit of the first wait between two attempts at the
	// store. The limit doubles with each attempt.
	retryBase = 100 * time.Millisecond
	// maxBackOff limits the wait between attempts.
	maxBackOff = 2 * time.Second
)

// Proposal is a change to the configuration that an operator requests.
type Proposal struct {
	// ID identifies the change. Apply compares it with the id of accepted changes,
	// so use the same id whenever the change is applied again.
	ID       string
	Operator string
	Reason   string
	// Base is the sequence of the configuration that the document is based on.
	Base     int64
	Document configurer.Document
}

// Accepted is a change that the store has accepted.
type Accepted struct {
	Change configurer.Change
	// Version is the version of the configuration object in the store. If
	// Superseded is set, that version contains a later change.
	Version int64
	// Superseded means that a later change has replaced this one.
	Superseded bool
	// Object is the configuration object in the store. Its value is empty if the
	// store already had the change, so that Apply wrote nothing.
	Object storer.Object
}

// Applier changes the configuration, the keys and the client map. It is safe for
// concurrent use.
type Applier struct {
	store storer.Store
	clock clockwork.Clock
	rng   *mathrand.Rand
}

// Option configures a new Applier.
type Option func(*Applier)

// WithClock sets the clock for the timestamps of changes and the back-off.
func WithClock(c clockwork.Clock) Option { return func(a *Applier) { a.clock = c } }

// WithSeed seeds the jitter between attempts. The applier is then not safe for
// concurrent use.
func WithSeed(seed uint64) Option {
	return func(a *Applier) { a.rng = mathrand.New(mathrand.NewPCG(seed, seed)) }
}

// New returns an Applier that writes to a store.
func New(store storer.Store, opts ...Option) *Applier {
	a := &Applier{store: store, clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// NewID returns a random id for a change.
func NewID() string { return rand.Text() }

// Current is the configuration that is now in the store.
type Current struct {
	configurer.Stored
	// Version is the version of the configuration object in the store, or 0 if
	// the store has no configuration yet.
	Version int64
}

// Sequence returns the sequence of the last accepted change, or 0 if no change was
// accepted yet.
func (c Current) Sequence() int64 {
	if c.Change == nil {
		return 0
	}
	return c.Change.Sequence
}

// Current reads the configuration from the store. It returns the zero Current if the
// store has no configuration yet.
func (a *Applier) Current(ctx context.Context) (Current, error) {
	o, err := a.store.Get(ctx, storer.KindConfig, storer.ConfigName)
	if coder.CodeOf(err) == coder.StoreNotFound {
		return Current{}, nil
	}
	if err != nil {
		return Current{}, err
	}
	stored, err := configurer.ParseStored(o.Value)
	return Current{Stored: stored, Version: o.Version}, err
}

// Apply checks a change and writes it to the store. It retries store errors until
// ctx ends. However often Apply retries, the change is accepted at most once. If the
// store's configuration isn't the base of the proposal any more, because another change
// was accepted first, Apply returns a [ConflictError].
func (a *Applier) Apply(ctx context.Context, p Proposal) (Accepted, error) {
	if _, err := configurer.New(p.Document, 0); err != nil {
		return Accepted{}, err
	}
	mayBeWritten := false
	for attempt := 0; ; attempt++ {
		accepted, err := a.attempt(ctx, p, &mayBeWritten)
		if err == nil || !retryable(err) {
			return accepted, err
		}
		if !a.backOff(ctx, attempt) {
			return Accepted{}, outcomeError(err, mayBeWritten)
		}
	}
}

// retryable reports whether another attempt may succeed, or may show whether the last
// attempt succeeded.
func retryable(err error) bool {
	switch coder.CodeOf(err) {
	case coder.StoreUnavailable, coder.StoreOutcomeUnknown, coder.StoreConflict:
		return true
	}
	return false
}

// outcomeError returns the error for a change of which the attempts stopped because
// the context ended. Its code is StoreOutcomeUnknown if the change may have been
// accepted, and StoreUnavailable otherwise.
func outcomeError(err error, mayBeWritten bool) error {
	if mayBeWritten {
		return coder.Errorf(coder.StoreOutcomeUnknown, "", "the change may have been accepted; retry it (a configuration change with the same id): %w", err)
	}
	return coder.Errorf(coder.StoreUnavailable, "", "the change was not accepted: %w", err)
}

// attempt makes one attempt to write the change. If the store's configuration already
// has the change, attempt returns it. If the store's configuration isn't the base of
// the proposal, attempt returns the result of resolveRace. It sets mayBeWritten if the
// outcome of the write is unknown.
func (a *Applier) attempt(ctx context.Context, p Proposal, mayBeWritten *bool) (Accepted, error) {
	current, err := a.Current(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if current.Change != nil && current.Change.ID == p.ID {
		return Accepted{Change: *current.Change, Version: current.Version, Object: currentObject(current)}, nil
	}
	if current.Sequence() != p.Base {
		return a.resolveRace(ctx, p, current)
	}
	if err := a.archive(ctx, current); err != nil {
		return Accepted{}, err
	}
	stored := configurer.Stored{Document: p.Document, Change: &configurer.Change{
		ID: p.ID, Sequence: p.Base + 1, Operator: p.Operator, Reason: p.Reason, At: a.clock.Now().UTC(),
	}}
	value, err := encodeStored(stored)
	if err != nil {
		return Accepted{}, err
	}
	object := storer.Object{Kind: storer.KindConfig, Name: storer.ConfigName, Version: current.Version, Value: value}
	o, err := a.store.Put(ctx, object)
	if coder.CodeOf(err) == coder.StoreOutcomeUnknown {
		*mayBeWritten = true
	}
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Change: *stored.Change, Version: o.Version, Object: object.WithVersion(o.Version)}, nil
}

// resolveRace returns the outcome of a proposal whose base isn't the current
// configuration. If the history shows that the proposal was accepted and then
// replaced, resolveRace returns it as accepted. Otherwise it returns a conflict. If
// the history no longer holds the change that followed the base, resolveRace returns
// a conflict even if that change was this proposal.
func (a *Applier) resolveRace(ctx context.Context, p Proposal, current Current) (Accepted, error) {
	if current.Sequence() > p.Base+1 {
		following, err := a.Archived(ctx, p.Base+1)
		switch {
		case retryable(err):
			return Accepted{}, err
		case err == nil && following.Change.ID == p.ID:
			return Accepted{Change: *following.Change, Version: current.Version, Superseded: true, Object: currentObject(current)}, nil
		}
	}
	base, err := a.Archived(ctx, p.Base)
	if retryable(err) {
		return Accepted{}, err
	}
	return Accepted{}, newConflict(p, base, current)
}

// encodeStored encodes a configuration as JSON. It fails if the result is larger than
// the store accepts.
func encodeStored(stored configurer.Stored) ([]byte, error) {
	value, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if len(value) > storer.MaxValueBytes {
		return nil, coder.Errorf(coder.ConfigInvalid, "", "configuration has %d bytes; the store accepts at most %d", len(value), storer.MaxValueBytes)
	}
	return value, nil
}

// backOff waits for a random time between half of the back-off limit and the limit,
// and returns true. It returns false if ctx ends before.
func (a *Applier) backOff(ctx context.Context, attempt int) bool {
	limit := min(retryBase<<min(attempt, 10), maxBackOff)
	jitter := mathrand.Int64N
	if a.rng != nil {
		jitter = a.rng.Int64N
	}
	wait := limit/2 + time.Duration(jitter(int64(limit/2)))
	select {
	case <-ctx.Done():
		return false
	case <-a.clock.After(wait):
		return true
	}
}

// currentObject returns the configuration object in the store, with its version but
// without its value.
func currentObject(current Current) storer.Object {
	return storer.Object{Kind: storer.KindConfig, Name: storer.ConfigName, Version: current.Version}
}
