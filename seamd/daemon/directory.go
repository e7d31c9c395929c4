package daemon

import (
	"maps"
	"slices"
	"sync/atomic"
)

// Peer says where an instance is and how to reach it.
type Peer struct {
	id            string
	region        string
	failureDomain string
	address       string
	incarnation   uint64
}

// ID returns the instance's name.
func (p Peer) ID() string { return p.id }

// Region returns the instance's region.
func (p Peer) Region() string { return p.region }

// FailureDomain returns the instance's failure domain.
func (p Peer) FailureDomain() string { return p.failureDomain }

// Address returns the IP address and port for other instances.
func (p Peer) Address() string { return p.address }

// Incarnation orders the starts of the instance. It is 0 until the instance
// itself has been heard.
func (p Peer) Incarnation() uint64 { return p.incarnation }

// directory maps instance ids to peers. Readers never wait: the map is
// immutable and swapped whole.
type directory struct {
	peers atomic.Pointer[map[string]Peer]
}

// Peer returns a live instance by its id.
func (d *Daemon) Peer(id string) (Peer, bool) {
	peers := d.directory.peers.Load()
	if peers == nil {
		return Peer{}, false
	}
	p, ok := (*peers)[id]
	return p, ok
}

// PeerIDs returns the ids of all live instances in order.
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
