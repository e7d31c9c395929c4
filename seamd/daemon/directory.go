package daemon

import (
	"maps"
	"slices"
	"sync/atomic"
)

// Peer holds the location and the address of an instance.
type Peer struct {
	id            string
	region        string
	failureDomain string
	address       string
	incarnation   uint64
}

// ID returns the instance's id.
func (p Peer) ID() string { return p.id }

// Region returns the instance's region.
func (p Peer) Region() string { return p.region }

// FailureDomain returns the instance's failure domain.
func (p Peer) FailureDomain() string { return p.failureDomain }

// Address returns the IP address and port on which the instance serves its peers.
func (p Peer) Address() string { return p.address }

// Incarnation returns a number that grows with each start of the instance. It is 0 if the
// instance was only read from the platform's list and no heartbeat has confirmed it.
func (p Peer) Incarnation() uint64 { return p.incarnation }

// directory maps the ids of the live instances to peers. Readers take no lock: the map is
// immutable, and a new one replaces it atomically.
type directory struct {
	peers atomic.Pointer[map[string]Peer]
}

// Peer returns the live instance with the given id. It reports false if there is none.
func (d *Daemon) Peer(id string) (Peer, bool) {
	peers := d.directory.peers.Load()
	if peers == nil {
		return Peer{}, false
	}
	p, ok := (*peers)[id]
	return p, ok
}

// PeerIDs returns the ids of all live instances, this one included, sorted.
func (d *Daemon) PeerIDs() []string {
	peers := d.directory.peers.Load()
	if peers == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(*peers))
}

// set replaces all peers.
func (d *directory) set(list []Peer) {
	peers := make(map[string]Peer, len(list))
	for _, p := range list {
		peers[p.id] = p
	}
	d.peers.Store(&peers)
}
