// Package storer talks to the platform's object service.
//
// [Store] is the small interface that the rest of the system uses; [NewHTTP]
// returns its implementation over the platform's HTTP API.
//
// # Usage
//
//	store := storer.NewHTTP("http://10.0.0.1:7000")
//	object, err := store.Get(ctx, storer.KindConfig, "current")
//	object, err = store.Put(ctx, object.WithValue(document))
//
// Errors carry one of the Store codes of package coder. A write that fails
// with [coder.StoreOutcomeUnknown] may have been applied; read it back.
package storer

import (
	"context"
	"encoding/json"
	"time"
)

// Kind names a kind of object.
type Kind string

// The kinds of object that the system keeps in the platform's service.
const (
	KindConfig Kind = "config"
	// KindConfigHistory holds replaced configurations in a ring of slots.
	KindConfigHistory Kind = "configHistory"
	KindKey           Kind = "key"
	// KindClientMap holds the shards of the client map and their manifest.
	KindClientMap Kind = "clientMap"
	KindSeat      Kind = "seat"
	KindStatus    Kind = "status"
)

// ConfigName is the name of the configuration in force.
const ConfigName = "current"

// MaxValueBytes is the greatest size of a value that the service holds.
const MaxValueBytes = 1 << 20

// Object is a versioned value in the store. Version 0 means that the object
// does not exist yet.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// WithValue returns a copy of the object with another value.
func (o Object) WithValue(value json.RawMessage) Object {
	o.Value = value
	return o
}

// WithVersion returns a copy of the object with another version.
func (o Object) WithVersion(version int64) Object {
	o.Version = version
	return o
}

// Events is the answer to a watch: changes after a position, oldest first.
type Events struct {
	// Position is where the next watch should start.
	Position int64    `json:"position"`
	Objects  []Object `json:"objects,omitempty"`
}

// InstanceState is what the platform's instance list says of an instance.
type InstanceState string

// The states of an instance in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's lagging instance list.
type Instance struct {
	ID            string        `json:"id"`
	Region        string        `json:"region"`
	FailureDomain string        `json:"failureDomain"`
	CallerAddress string        `json:"callerAddress"`
	LookupAddress string        `json:"lookupAddress"`
	PeerAddress   string        `json:"peerAddress"`
	State         InstanceState `json:"state"`
}

// Store is the platform's object service.
type Store interface {
	// Get reads an object, or fails with StoreNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List reads all objects of a kind and the position to watch from.
	List(ctx context.Context, kind Kind) (Events, error)
	// Put writes an object if its version in the store is still o.Version; 0
	// creates it. It returns the object with its new version.
	Put(ctx context.Context, o Object) (Object, error)
	// Watch waits up to wait for changes of a kind after a position.
	Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) (Events, error)
	// Instances reads the platform's lagging list of instances.
	Instances(ctx context.Context) ([]Instance, error)
}
