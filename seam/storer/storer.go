// Package storer is the client of the platform's object store.
//
// [Store] is the interface that the rest of the system uses; [NewHTTP] returns its
// implementation over the platform's HTTP API.
//
// # Usage
//
//	store := storer.NewHTTP("http://10.0.0.1:7000")
//	object, err := store.Get(ctx, storer.KindConfig, "current")
//	object, err = store.Put(ctx, object.WithValue(document))
//
// Errors carry one of the Store codes of package coder. A write that fails with
// [coder.StoreOutcomeUnknown] may have been applied; read the object to find out.
package storer

import (
	"context"
	"encoding/json"
	"time"
)

// Kind is the kind of an object. Names are unique within a kind.
type Kind string

// The kinds of objects that the system keeps in the store.
const (
	KindConfig Kind = "config"
	// KindConfigHistory holds replaced configurations in a ring buffer of named slots.
	KindConfigHistory Kind = "configHistory"
	KindKey           Kind = "key"
	// KindClientMap holds the shards of the client map and their manifest.
	KindClientMap Kind = "clientMap"
	KindSeat      Kind = "seat"
	KindStatus    Kind = "status"
	// KindTicketKey holds the key with which instances sign tickets.
	KindTicketKey Kind = "ticketKey"
	// KindHandover names the instance that took over the deduplication records of one that
	// stopped.
	KindHandover Kind = "handover"
)

// ConfigName is the name of the object that holds the configuration in force.
const ConfigName = "current"

// MaxValueBytes is the size limit of a value in the store.
const MaxValueBytes = 1 << 20

// Object is a versioned value in the store. Version 0 means that the object does not exist
// yet.
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

// Events is the answer to a list, with all objects, or to a watch, with the changes after a
// position, oldest first.
type Events struct {
	// Position is the position from which the next watch should start.
	Position int64    `json:"position"`
	Objects  []Object `json:"objects,omitempty"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The instance states.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's instance list, which lags behind.
type Instance struct {
	ID            string        `json:"id"`
	Region        string        `json:"region"`
	FailureDomain string        `json:"failureDomain"`
	CallerAddress string        `json:"callerAddress"`
	LookupAddress string        `json:"lookupAddress"`
	PeerAddress   string        `json:"peerAddress"`
	State         InstanceState `json:"state"`
}

// Store is the platform's object store.
type Store interface {
	// Get reads an object. It fails with StoreNotFound if there is none.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List reads all objects of a kind and the position from which to watch for changes.
	List(ctx context.Context, kind Kind) (Events, error)
	// Put writes an object if its version in the store still is o.Version, where version 0
	// creates it. It returns the object with its new version.
	Put(ctx context.Context, o Object) (Object, error)
	// Watch is a long poll: it waits up to wait for changes of a kind after a position.
	Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) (Events, error)
	// Instances reads the platform's list of instances, which lags behind.
	Instances(ctx context.Context) ([]Instance, error)
}
