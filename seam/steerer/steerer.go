// Package steerer decides which instances a caller should send its requests to.
//
// Callers look up instances at the fleet daemon seamd and cache the answer for some
// seconds. A [Table] orders the instances for each lookup. [Shares] states which
// fraction of a region's callers is sent to which other region. A [Controller] computes
// the shares for an overloaded region, and [Failover] computes them for a lost region.
//
// The fleet daemon seamd uses this package. The demonstration in seamctl decodes the
// answers, and package rehearser uses them in tests.
//
// A table is immutable and is replaced as a whole, so lookups take no lock and
// don't wait for the daemon's main loop.
//
// # Usage
//
//	t := steerer.NewTable(instances, blocks)
//	answer := t.Entries("kolkata", callerID, rng)
package steerer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// answerTTL is the least time for which callers may cache an answer. A random time of
// up to half of answerTTL is added, so that callers don't all look up at the same time.
const answerTTL = 5 * time.Second

// Instance is an instance that callers may send requests to.
type Instance struct {
	ID      string `json:"id"`
	Region  string `json:"region"`
	Address string `json:"address"`
}

// Block is a block of client addresses, given by a prefix, that belongs to a region.
type Block struct {
	prefix netip.Prefix
	region string
}

// ParseBlock returns the block for a CIDR prefix such as "10.1.0.0/16".
func ParseBlock(cidr, region string) (Block, error) {
	prefix, err := netip.ParsePrefix(cidr)
	if err != nil {
		return Block{}, fmt.Errorf("parse client block: %w", err)
	}
	return Block{prefix: prefix.Masked(), region: region}, nil
}

// Answer is the answer to a lookup: instances in the order in which the caller
// should try them.
type Answer struct {
	Region    string        `json:"region"`
	Instances []Instance    `json:"instances"`
	TTL       time.Duration `json:"ttlNanoseconds"`
	// Ticket is the first part of the names (idempotency keys) of the caller's
	// non-idempotent requests.
	Ticket string `json:"ticket,omitempty"`
}

// Table is one immutable version of the data that lookups need.
type Table struct {
	instances   []Instance
	blocks      []Block
	shares      Shares
	unreachable []string
}

// NewTable returns a table that assigns all callers to their own region. Where blocks
// overlap, an address belongs to the region of the longest prefix.
func NewTable(instances []Instance, blocks []Block) *Table {
	t := &Table{instances: slices.Clone(instances), blocks: slices.Clone(blocks)}
	slices.SortStableFunc(t.blocks, func(a, b Block) int {
		return cmp.Compare(b.prefix.Bits(), a.prefix.Bits())
	})
	return t
}

// Region returns the region of a client address, or "" if no block contains it.
func (t *Table) Region(client netip.Addr) string {
	for _, b := range t.blocks {
		if b.prefix.Contains(client) {
			return b.region
		}
	}
	return ""
}

// Entries returns the answer to a lookup by a caller of a region, without a ticket.
// Instances of the region that the shares assign to the caller come first. The order
// within a region is random, which spreads callers over instances. The parameter caller
// may be any string that identifies the caller and stays the same from one lookup to
// the next.
func (t *Table) Entries(region, caller string, rng *rand.Rand) Answer {
	list := t.order(region, caller, rng)
	jitter := time.Duration(rng.Int64N(int64(answerTTL / 2)))
	return Answer{Region: region, Instances: list, TTL: answerTTL + jitter}
}
