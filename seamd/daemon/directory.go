package daemon

import (
	"slices"
	"sync"

	"primroseseam.org/seam/storer"
)

// directory knows where the peers of other instances listen.
type directory struct {
	mu        sync.Mutex
	addresses map[string]string
	list      []storer.Instance
}

// set takes a list of instances and reports whether it differs from the last.
func (d *directory) set(list []storer.Instance) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addresses != nil && slices.Equal(d.list, list) {
		return false
	}
	d.list = slices.Clone(list)
	d.addresses = make(map[string]string, len(list))
	for _, i := range list {
		d.addresses[i.ID] = i.PeerAddress
	}
	return true
}

// peerAddress returns the peer address of an instance.
func (d *directory) peerAddress(id string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	address, ok := d.addresses[id]
	return address, ok
}
