package storer

import (
	"context"
	"time"

	"primroseseam.org/seam/coder"
)

// Call is one finished call to the service.
type Call struct {
	// Method is get, list, put, watch or instances.
	Method string
	Kind   Kind
	Result coder.Code
	Took   time.Duration
}

// Observe returns a store that tells done of every call. The service counts
// each call, a waiting watch as one.
func Observe(s Store, done func(Call)) Store { return &observed{store: s, done: done} }

type observed struct {
	store Store
	done  func(Call)
}

// observe runs a call and tells how it ended.
func observe[T any](o *observed, method string, kind Kind, call func() (T, error)) (T, error) {
	started := time.Now()
	value, err := call()
	o.done(Call{Method: method, Kind: kind, Result: coder.CodeOf(err), Took: time.Since(started)})
	return value, err
}

func (o *observed) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return observe(o, "get", kind, func() (Object, error) { return o.store.Get(ctx, kind, name) })
}

func (o *observed) List(ctx context.Context, kind Kind) (Events, error) {
	return observe(o, "list", kind, func() (Events, error) { return o.store.List(ctx, kind) })
}

func (o *observed) Put(ctx context.Context, object Object) (Object, error) {
	return observe(o, "put", object.Kind, func() (Object, error) { return o.store.Put(ctx, object) })
}

func (o *observed) Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) (Events, error) {
	return observe(o, "watch", kind, func() (Events, error) { return o.store.Watch(ctx, kind, after, wait) })
}

func (o *observed) Instances(ctx context.Context) ([]Instance, error) {
	return observe(o, "instances", "", func() ([]Instance, error) { return o.store.Instances(ctx) })
}
