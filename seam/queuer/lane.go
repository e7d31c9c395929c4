package queuer

// lane holds the waiting requests of one team.
type lane struct {
	team   string
	items  deadlineHeap
	weight int
	// turn is the virtual time of the team's next request; each request moves
	// it by one over the weight.
	turn float64
	// back is the virtual time at which the team is within its allowance.
	back  float64
	heap  *laneHeap
	index int
}

// laneHeap orders lanes that hold requests.
type laneHeap struct {
	lanes []*lane
	less  func(a, b *lane) bool
}

func earlierDeadline(a, b *lane) bool { return earlier(a.items[0], b.items[0]) }

func earlierTurn(a, b *lane) bool {
	if a.back != b.back {
		return a.back < b.back
	}
	return a.team < b.team
}

func (h *laneHeap) first() *lane {
	if len(h.lanes) == 0 {
		return nil
	}
	return h.lanes[0]
}

func (h *laneHeap) Len() int { return len(h.lanes) }

func (h *laneHeap) Less(i, j int) bool { return h.less(h.lanes[i], h.lanes[j]) }

func (h *laneHeap) Swap(i, j int) {
	h.lanes[i], h.lanes[j] = h.lanes[j], h.lanes[i]
	h.lanes[i].index, h.lanes[j].index = i, j
}

func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.index = len(h.lanes)
	h.lanes = append(h.lanes, l)
}

func (h *laneHeap) Pop() any {
	last := h.lanes[len(h.lanes)-1]
	h.lanes = h.lanes[:len(h.lanes)-1]
	return last
}

// earlier orders requests by deadline, then by arrival.
func earlier(a, b Item) bool {
	if a.Deadline.Equal(b.Deadline) {
		return a.ID < b.ID
	}
	return a.Deadline.Before(b.Deadline)
}

// deadlineHeap orders requests by deadline, then by arrival.
type deadlineHeap []Item

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool { return earlier(h[i], h[j]) }

func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(Item)) }

func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
