// Package steerer answers callers' look-ups: which entry instances to use.
//
// A [Table] is immutable. The daemon swaps it whole, so that look-ups never
// wait for the loop.
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

// answerTTL is how long callers may use an answer; jitter adds up to half.
const answerTTL = 5 * time.Second

// Instance is an entry instance that callers may use.
type Instance struct {
	ID      string `json:"id"`
	Region  string `json:"region"`
	Address string `json:"address"`
}

// Block maps a block of client addresses to a region.
type Block struct {
	prefix netip.Prefix
	region string
}

// ParseBlock returns the block of a CIDR such as "10.1.0.0/16".
func ParseBlock(cidr, region string) (Block, error) {
	prefix, err := netip.ParsePrefix(cidr)
	if err != nil {
		return Block{}, fmt.Errorf("parse client block: %w", err)
	}
	return Block{prefix: prefix.Masked(), region: region}, nil
}

// Answer is an ordered list of instances, the best one first.
type Answer struct {
	Region    string        `json:"region"`
	Instances []Instance    `json:"instances"`
	TTL       time.Duration `json:"ttlNanoseconds"`
	// Ticket starts the names of the caller's non-idempotent requests.
	Ticket string `json:"ticket,omitempty"`
}

// Table is one immutable version of the look-up data.
type Table struct {
	instances []Instance
	blocks    []Block
	shares    Shares
	silent    []string
}

// NewTable returns a table; longer prefixes go before shorter ones.
func NewTable(instances []Instance, blocks []Block) *Table {
	t := &Table{instances: slices.Clone(instances), blocks: slices.Clone(blocks)}
	slices.SortStableFunc(t.blocks, func(a, b Block) int {
		return cmp.Compare(b.prefix.Bits(), a.prefix.Bits())
	})
	return t
}

// Region returns the region of a client address, or "".
func (t *Table) Region(client netip.Addr) string {
	for _, b := range t.blocks {
		if b.prefix.Contains(client) {
			return b.region
		}
	}
	return ""
}

// Entries orders the instances for a client's region by the region's shares, in
// random order inside each region, so that callers spread. The caller is
// anything that stays the same from one look-up to the next.
func (t *Table) Entries(region, caller string, rng *rand.Rand) Answer {
	list := t.order(region, caller, rng)
	jitter := time.Duration(rng.Int64N(int64(answerTTL / 2)))
	return Answer{Region: region, Instances: list, TTL: answerTTL + jitter}
}
