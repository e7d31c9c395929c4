package storer

import (
	"context"
	"time"

	"primroseseam.org/seam/coder"
)

// Call is a finished call to the store.
type Call struct {
	// Method is get, list, put, watch or instances.
	Method string
	Kind   Kind
	Result coder.Code
	Took   time.Duration
}

// Observe returns a store that passes each call to s and then calls done with the
// result of the call. A watch is one call, however long it waits.
func Observe(s Store, done func(Call)) Store { return &observedStore{store: s, done: done} }

// observedStore is the store that Observe returns.
type observedStore struct {
	store Store
	done  func(Call)
}

// observe runs a call and reports its result and duration to done.
func observe[T any](o *observedStore, method string, kind Kind, call func() (T, error)) (T, error) {
	started := time.Now()
	value, err := call()
	o.done(Call{Method: method, Kind: kind, Result: coder.CodeOf(err), Took: time.Since(started)})
	return value, err
}

func (o *observedStore) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return observe(o, "get", kind, func() (Object, error) { return o.store.Get(ctx, kind, name) })
}

func (o *observedStore) List(ctx context.Context, kind Kind) (Events, error) {
	return observe(o, "list", kind, func() (Events, error) { return o.store.List(ctx, kind) })
}

func (o *observedStore) Put(ctx context.Context, object Object) (Object, error) {
	return observe(o, "put", object.Kind, func() (Object, error) { return o.store.Put(ctx, object) })
}

func (o *observedStore) Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) (Events, error) {
	return observe(o, "watch", kind, func() (Events, error) { return o.store.Watch(ctx, kind, after, wait) })
}

func (o *observedStore) Instances(ctx context.Context) ([]Instance, error) {
	return observe(o, "instances", "", func() ([]Instance, error) { return o.store.Instances(ctx) })
}
