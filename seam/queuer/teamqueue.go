package queuer

// teamQueue holds the waiting requests of one team, and its place in the order of
// teams.
type teamQueue struct {
	team   string
	items  deadlineHeap
	weight int
	// nextTime is the virtual time of the team's next request. Each request advances
	// it by 1/weight.
	nextTime float64
	// eligibleAt is the virtual time from which the team is within its allowance.
	eligibleAt float64
	// heap is the heap that holds this queue, at index.
	heap  *teamHeap
	index int
}

// teamHeap is a heap of the team queues that hold requests.
type teamHeap struct {
	queues []*teamQueue
	less   func(a, b *teamQueue) bool
}

// earlierDeadline orders team queues by the deadlines of their first requests.
func earlierDeadline(a, b *teamQueue) bool { return earlier(a.items[0], b.items[0]) }

// earlierEligible orders team queues by eligibleAt, then by team name.
func earlierEligible(a, b *teamQueue) bool {
	if a.eligibleAt != b.eligibleAt {
		return a.eligibleAt < b.eligibleAt
	}
	return a.team < b.team
}

// first returns the first team queue, or nil if there is none.
func (h *teamHeap) first() *teamQueue {
	if len(h.queues) == 0 {
		return nil
	}
	return h.queues[0]
}

func (h *teamHeap) Len() int { return len(h.queues) }

func (h *teamHeap) Less(i, j int) bool { return h.less(h.queues[i], h.queues[j]) }

func (h *teamHeap) Swap(i, j int) {
	h.queues[i], h.queues[j] = h.queues[j], h.queues[i]
	h.queues[i].index, h.queues[j].index = i, j
}

func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.index = len(h.queues)
	h.queues = append(h.queues, t)
}

func (h *teamHeap) Pop() any {
	last := h.queues[len(h.queues)-1]
	h.queues = h.queues[:len(h.queues)-1]
	return last
}

// earlier orders requests by deadline, then by ID, which is the order of arrival if IDs
// ascend.
func earlier(a, b Item) bool {
	if a.Deadline.Equal(b.Deadline) {
		return a.ID < b.ID
	}
	return a.Deadline.Before(b.Deadline)
}

// deadlineHeap is a heap of requests in the order of earlier.
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
