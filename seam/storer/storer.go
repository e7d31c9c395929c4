// Package storer is the client of the platform's object store. The fleet daemon seamd and
// the operators' client seamctl use it.
//
// [Store] is the interface of the object store; [NewHTTP] returns its implementation over
// the platform's HTTP API. Every object has a kind, a name and a version, which grows with
// each write. A position is the point in the store's sequence of changes from which a
// watch of a kind starts.
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
	// KindConfigHistory holds replaced configurations in a ring of objects, in which a
	// new configuration replaces the oldest.
	KindConfigHistory Kind = "configHistory"
	KindKey           Kind = "key"
	// KindClientMap holds the shards of the client map and their manifest.
	KindClientMap Kind = "clientMap"
	// KindSeat holds the seats and the roster. A seat is a failure domain's share of the
	// limits of the whole fleet. The roster lists the instances that hold the seats.
	KindSeat Kind = "seat"
	// KindStatus is used only by tests.
	KindStatus Kind = "status"
	// KindTicketKey holds the key with which instances sign tickets. A ticket names the
	// instance that runs a caller's non-idempotent requests and records their answers.
	KindTicketKey Kind = "ticketKey"
	// KindHandover holds, for an instance that stopped, the name of the instance that
	// took over its deduplication records.
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

// Events is the answer to a list or to a watch. The answer to a list has all objects of a
// kind. The answer to a watch has the changes after a position, oldest first.
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

// Instance is an entry of the platform's list of instances. The list may be outdated.
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
	// Get reads an object. It fails with StoreNotFound if the object doesn't exist.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List reads all objects of a kind and the position from which to watch for changes.
	List(ctx context.Context, kind Kind) (Events, error)
	// Put writes an object and returns it with its new version. It fails with
	// StoreConflict if the version in the store isn't o.Version. If o.Version is 0, the
	// object must not exist yet.
	Put(ctx context.Context, o Object) (Object, error)
	// Watch is a long poll for changes of a kind. It returns the changes after a position
	// as soon as there are any, and no changes if there are none within wait. It fails
	// with StoreCompacted if the store no longer has all changes after the position.
	Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) (Events, error)
	// Instances reads the platform's list of instances, which may be outdated.
	Instances(ctx context.Context) ([]Instance, error)
}
