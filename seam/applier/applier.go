// Package applier puts an operator's changes into the platform's store and
// waits until every instance runs them.
//
// A change carries an id of its own and the sequence of the version that it
// was based on. The write is conditional on that version, so two operators
// can't overwrite each other, and a lost answer is settled by looking for the
// id at the one place where it would stand.
//
// # Usage
//
//	a := applier.New(store)
//	accepted, err := a.Apply(ctx, applier.Proposal{ID: id, Base: 7, Document: doc})
//	var conflict *applier.ConflictError
//	if errors.As(err, &conflict) { show(conflict.Theirs(), conflict.Ours()) }
//
// Errors carry [coder.ConfigInvalid], [coder.ConfigConflict],
// [coder.StoreOutcomeUnknown] or [coder.StoreUnavailable].
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
	// retryAfter is the shortest wait between two tries at the store.
	retryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds the back-off between tries.
	maxRetryAfter = 2 * time.Second
)

// Proposal is a change that an operator asks for.
type Proposal struct {
	// ID makes retries safe: use the same one for every try of a change.
	ID       string
	Operator string
	Reason   string
	// Base is the sequence of the version that the document was made from.
	Base     int64
	Document configurer.Document
}

// Accepted is a change that stands in the store.
type Accepted struct {
	Change configurer.Change
	// Version is the store's version of the change, or of the later one that
	// has replaced it.
	Version int64
	// Superseded means that a later change has been accepted since.
	Superseded bool
	// Object is what was written; its value is empty if the change was found
	// in the store.
	Object storer.Object
}

// Applier changes the configuration. It is safe for concurrent use.
type Applier struct {
	store storer.Store
	clock clockwork.Clock
	rng   *mathrand.Rand
}

// Option changes an applier at its creation.
type Option func(*Applier)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(a *Applier) { a.clock = c } }

// WithSeed seeds the jitter between tries. The applier is then not safe for
// concurrent use.
func WithSeed(seed uint64) Option {
	return func(a *Applier) { a.rng = mathrand.New(mathrand.NewPCG(seed, seed)) }
}

// New returns an applier for a store.
func New(store storer.Store, opts ...Option) *Applier {
	a := &Applier{store: store, clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// NewID returns a fresh id for a change.
func NewID() string { return rand.Text() }

// Current is the configuration that stands in the store.
type Current struct {
	configurer.Stored
	// Version is 0 if there is none yet.
	Version int64
}

// Sequence returns the number of accepted changes, or 0 if there were none.
func (c Current) Sequence() int64 {
	if c.Change == nil {
		return 0
	}
	return c.Change.Sequence
}

// Current reads the configuration that stands in the store.
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

// Apply puts a change into the store. It tries again until ctx ends; the
// change is accepted at most once.
func (a *Applier) Apply(ctx context.Context, p Proposal) (Accepted, error) {
	if _, err := configurer.New(p.Document, 0); err != nil {
		return Accepted{}, err
	}
	written := false
	for try := 0; ; try++ {
		accepted, err := a.try(ctx, p, &written)
		if err == nil || !transient(err) {
			return accepted, err
		}
		if !a.pause(ctx, try) {
			return Accepted{}, unsettled(err, written)
		}
	}
}

// transient reports whether another try may settle the change.
func transient(err error) bool {
	switch coder.CodeOf(err) {
	case coder.StoreUnavailable, coder.StoreOutcomeUnknown, coder.StoreConflict:
		return true
	}
	return false
}

// unsettled says what is known when time has run out.
func unsettled(err error, written bool) error {
	if written {
		return coder.Errorf(coder.StoreOutcomeUnknown, "", "the change may have been accepted; apply again with its id: %w", err)
	}
	return coder.Errorf(coder.StoreUnavailable, "", "the change was not sent: %w", err)
}

// try looks whether the change stands in the store and writes it if not.
func (a *Applier) try(ctx context.Context, p Proposal, written *bool) (Accepted, error) {
	current, err := a.Current(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if current.Change != nil && current.Change.ID == p.ID {
		return Accepted{Change: *current.Change, Version: current.Version, Object: currentObject(current)}, nil
	}
	if current.Sequence() != p.Base {
		return a.settleRaced(ctx, p, current)
	}
	if err := a.archive(ctx, current); err != nil {
		return Accepted{}, err
	}
	stored := configurer.Stored{Document: p.Document, Change: &configurer.Change{
		ID: p.ID, Sequence: p.Base + 1, Operator: p.Operator, Reason: p.Reason, At: a.clock.Now().UTC(),
	}}
	value, err := encode(stored)
	if err != nil {
		return Accepted{}, err
	}
	object := storer.Object{Kind: storer.KindConfig, Name: storer.ConfigName, Version: current.Version, Value: value}
	o, err := a.store.Put(ctx, object)
	if coder.CodeOf(err) == coder.StoreOutcomeUnknown {
		*written = true
	}
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Change: *stored.Change, Version: o.Version, Object: object.WithVersion(o.Version)}, nil
}

// settleRaced finds out whether the change was accepted and then replaced, or
// lost to another change.
func (a *Applier) settleRaced(ctx context.Context, p Proposal, current Current) (Accepted, error) {
	if current.Sequence() > p.Base+1 {
		mine, err := a.Archived(ctx, p.Base+1)
		switch {
		case transient(err):
			return Accepted{}, err
		case err == nil && mine.Change.ID == p.ID:
			return Accepted{Change: *mine.Change, Version: current.Version, Superseded: true, Object: currentObject(current)}, nil
		}
	}
	base, err := a.Archived(ctx, p.Base)
	if transient(err) {
		return Accepted{}, err
	}
	return Accepted{}, newConflict(p, base, current)
}

func encode(stored configurer.Stored) ([]byte, error) {
	value, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if len(value) > storer.MaxValueBytes {
		return nil, coder.Errorf(coder.ConfigInvalid, "", "%d bytes; the store holds values up to %d", len(value), storer.MaxValueBytes)
	}
	return value, nil
}

// pause waits before another try; it reports false if ctx ends first.
func (a *Applier) pause(ctx context.Context, try int) bool {
	longest := min(retryAfter<<min(try, 10), maxRetryAfter)
	jitter := mathrand.Int64N
	if a.rng != nil {
		jitter = a.rng.Int64N
	}
	wait := longest/2 + time.Duration(jitter(int64(longest/2)))
	select {
	case <-ctx.Done():
		return false
	case <-a.clock.After(wait):
		return true
	}
}

// currentObject names what stands in the store, without its value.
func currentObject(current Current) storer.Object {
	return storer.Object{Kind: storer.KindConfig, Name: storer.ConfigName, Version: current.Version}
}
