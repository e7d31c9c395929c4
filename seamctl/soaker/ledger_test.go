package soaker

import (
	"testing"
	"time"
)

// Time for which an instance was paused after SIGTERM doesn't count toward its grace period.
// Faults of others, and earlier or later ones, make no difference.
func TestPausesLengthenTheGracePeriod(t *testing.T) {
	stopped, other := &instance{id: "a"}, &instance{id: "b"}
	at := time.Unix(1000, 0)
	h := newHistory()
	h.faults = []span{
		{subject: stopped, from: at.Add(-9 * time.Second), to: at.Add(-8 * time.Second)},
		{subject: stopped, from: at.Add(-time.Second), to: at.Add(2 * time.Second)},
		{subject: stopped, from: at.Add(3 * time.Second), to: at.Add(4 * time.Second)},
		{subject: stopped, from: at.Add(6 * time.Second), to: at.Add(9 * time.Second)},
		{subject: other, from: at.Add(-time.Second), to: at.Add(8 * time.Second)},
		{subject: nil, from: at.Add(-time.Second), to: at.Add(8 * time.Second)},
	}
	if got := h.faultTimeAfter(stopped, at, at.Add(5*time.Second)); got != 3*time.Second {
		t.Errorf("the grace period is lengthened by %v, want 3s", got)
	}
}
