package rationer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"primroseseam.org/seam/rationer"
)

// However the fleet is partitioned, the shares of its instances never add up to
// more than the rate.
func TestSharesNeverExceedTheRate(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		knownCount := 1 + rng.IntN(63)
		demand := make([]float64, knownCount)
		for i := range demand {
			demand[i] = rng.Float64() * 20
		}
		groups := 1 + rng.IntN(4)
		members := make([][]int, groups)
		for i := range knownCount {
			g := rng.IntN(groups)
			members[g] = append(members[g], i)
		}
		sum := 0.0
		for _, group := range members {
			total := 0.0
			for _, i := range group {
				total += demand[i]
			}
			for _, i := range group {
				sum += rationer.Share(rationer.Fleet{KnownInstances: knownCount, LiveInstances: len(group)}, demand[i], total-demand[i])
			}
		}
		if sum > 1.0000001 {
			t.Fatalf("%d instances in %d groups use %.3f of the rate", knownCount, groups, sum)
		}
	}
}

func TestConnectedInstancesShareTheWholeRate(t *testing.T) {
	fleet := rationer.Fleet{KnownInstances: 10, LiveInstances: 10}
	sum := 9*rationer.Share(fleet, 1, 100) + rationer.Share(fleet, 92, 9)
	if sum < 0.999 {
		t.Errorf("connected instances use only %.3f of the rate", sum)
	}
}

func TestBucketRepaysDebtBeforeGivingTokens(t *testing.T) {
	now := time.Unix(100, 0)
	var b rationer.Bucket
	b.SetMaxDebt(20)
	b.SetRate(now, 10, 5)
	b.Spend(now, 15)
	if b.Take(now) || b.Tokens(now) != -10 {
		t.Errorf("after spending 15 tokens of 5, Take succeeded or %.1f tokens are left", b.Tokens(now))
	}
	if b.Take(now.Add(time.Second)) {
		t.Error("a token was given before the debt was repaid")
	}
	if !b.Take(now.Add(1200 * time.Millisecond)) {
		t.Error("no token was given after the debt was repaid")
	}
}

func TestClockStepBackAddsNoTokens(t *testing.T) {
	now := time.Unix(100, 0)
	b := rationer.NewBucket(now, 10, 20, 0)
	b.Tokens(now.Add(time.Second))
	b.Tokens(now)
	if n := b.Tokens(now.Add(time.Second)); n != 10 {
		t.Errorf("one second at 10 tokens a second gives %.1f", n)
	}
}

func TestMeterTracksRate(t *testing.T) {
	now := time.Unix(100, 0)
	var m rationer.Meter
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		m.Add(now, 1)
	}
	if r := m.Rate(now); r < 15 || r > 26 {
		t.Errorf("20 events a second are measured as %.1f", r)
	}
	if r := m.Rate(now.Add(10 * time.Second)); r > 2 {
		t.Errorf("10 s after the last event the rate is %.1f", r)
	}
}
