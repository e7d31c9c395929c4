package queuer

// teamQueue holds the waiting requests of one team, and the place of the team in the
// order in which teams are served.
type teamQueue struct {
	team   string
	items  deadlineHeap
	weight int
	// nextTime is the virtual time at which the team has been served exactly its share.
	// It grows by 1/weight with each request of the team that is popped.
	nextTime float64
	// eligibleAt is the virtual time from which the team is within its allowance.
	eligibleAt float64
	// heap is the heap that holds this queue. index is the queue's index in that heap.
	heap  *teamHeap
	index int
}

// teamHeap is a heap of team queues, each with at least one request, in the order of less.
// It implements heap.Interface.
type teamHeap struct {
	queues []*teamQueue
	less   func(a, b *teamQueue) bool
}

// earlierDeadline reports whether the first request of team queue a goes before the first
// request of b.
func earlierDeadline(a, b *teamQueue) bool { return earlier(a.items[0], b.items[0]) }

// earlierEligible reports whether team queue a goes before b: it has the lower eligibleAt,
// or the same eligibleAt and a team name that sorts first.
func earlierEligible(a, b *teamQueue) bool {
	if a.eligibleAt != b.eligibleAt {
		return a.eligibleAt < b.eligibleAt
	}
	return a.team < b.team
}

// first returns the first team queue of the heap, or nil if the heap is empty.
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

// earlier reports whether request a goes before b: it has the earlier deadline, or the
// same deadline and the lower ID. If IDs ascend, the lower ID is that of the request that
// arrived first.
func earlier(a, b Item) bool {
	if a.Deadline.Equal(b.Deadline) {
		return a.ID < b.ID
	}
	return a.Deadline.Before(b.Deadline)
}

// deadlineHeap is a heap of requests, ordered by the function earlier. It implements
// heap.Interface.
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
