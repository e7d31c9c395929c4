// Package queuer holds requests that wait for an upstream slot.
//
// Teams take turns, so that a team with a long queue delays only itself.
// Inside a team the request with the earliest deadline goes first.
//
// # Usage
//
//	q := queuer.New(queuer.WithMaxPerTeam(100))
//	q.Push(queuer.Item{ID: 7, Team: "clerks", Deadline: deadline})
//	next, ok := q.Pop()
package queuer

import (
	"container/heap"
	"time"
)

// defaultMaxPerTeam is the number of requests of one team that may wait.
const defaultMaxPerTeam = 512

// Item is a waiting request.
type Item struct {
	ID       uint64
	Team     string
	Weight   int
	Deadline time.Time
}

// Queue is a fair queue by team. It is not safe for concurrent use.
type Queue struct {
	maxPerTeam int
	teams      map[string]*lane
	turns      []*lane
	length     int
}

// lane holds the waiting requests of one team.
type lane struct {
	team   string
	items  deadlineHeap
	credit int
	weight int
}

// Option changes a queue at its creation.
type Option func(*Queue)

// WithMaxPerTeam sets the number of requests of one team that may wait.
func WithMaxPerTeam(n int) Option {
	return func(q *Queue) { q.maxPerTeam = n }
}

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{maxPerTeam: defaultMaxPerTeam, teams: map[string]*lane{}}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// TeamLen returns the number of waiting requests of a team.
func (q *Queue) TeamLen(team string) int {
	if l, ok := q.teams[team]; ok {
		return len(l.items)
	}
	return 0
}

// Push adds a request and reports false if the team's queue is full.
func (q *Queue) Push(item Item) bool {
	l, ok := q.teams[item.Team]
	if !ok {
		l = &lane{team: item.Team, weight: max(1, item.Weight)}
		q.teams[item.Team] = l
	}
	if len(l.items) >= q.maxPerTeam {
		return false
	}
	if len(l.items) == 0 {
		l.credit = l.weight
		q.turns = append(q.turns, l)
	}
	heap.Push(&l.items, item)
	q.length++
	return true
}

// Pop removes and returns the next request.
func (q *Queue) Pop() (Item, bool) {
	if len(q.turns) == 0 {
		return Item{}, false
	}
	l := q.turns[0]
	item := heap.Pop(&l.items).(Item)
	q.length--
	l.credit--
	if len(l.items) == 0 {
		q.turns = q.turns[1:]
		delete(q.teams, l.team)
	} else if l.credit <= 0 {
		l.credit = l.weight
		q.turns = append(q.turns[1:], l)
	}
	return item, true
}

// Remove takes a request out of the queue, for example when its caller left.
func (q *Queue) Remove(team string, id uint64) bool {
	l, ok := q.teams[team]
	if !ok {
		return false
	}
	for i := range l.items {
		if l.items[i].ID == id {
			heap.Remove(&l.items, i)
			q.length--
			q.dropEmpty(l)
			return true
		}
	}
	return false
}

// Expired removes and returns all requests whose deadline is not after now.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for _, l := range append([]*lane(nil), q.turns...) {
		for len(l.items) > 0 && !l.items[0].Deadline.After(now) {
			expired = append(expired, heap.Pop(&l.items).(Item))
			q.length--
		}
		q.dropEmpty(l)
	}
	return expired
}

func (q *Queue) dropEmpty(l *lane) {
	if len(l.items) > 0 {
		return
	}
	delete(q.teams, l.team)
	for i := range q.turns {
		if q.turns[i] == l {
			q.turns = append(q.turns[:i], q.turns[i+1:]...)
			return
		}
	}
}

// deadlineHeap orders requests by deadline, then by arrival.
type deadlineHeap []Item

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].ID < h[j].ID
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(Item)) }

func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
