// Package queuer holds requests that wait for a slot, which is the capacity of an
// upstream for one request at a time.
//
// Teams share the slots by weight. Teams that have had no more than their share plus
// a small allowance are served by deadline, the earliest first, which keeps the
// longest wait short. A team over its allowance comes after those, so that a long
// queue of one team doesn't delay the others. Within a team, the request with the
// earliest deadline goes first.
//
// Shares are tracked in virtual time, as in weighted fair queuing: it advances by one
// when each waiting team has been served as many requests as its weight.
//
// # Usage
//
//	q := queuer.New(queuer.WithMaxPerTeam(100))
//	q.Push(queuer.Item{ID: 7, Team: "clerks", Deadline: deadline})
//	next, ok := q.Pop()
//	q.UndoPop(next) // next can't be forwarded yet
package queuer

import (
	"container/heap"
	"slices"
	"time"
)

// defaultMaxPerTeam is the maximum number of waiting requests of one team.
const defaultMaxPerTeam = 512

// defaultAllowance is about the number of slots of one region's endpoints: a team
// may start that many requests at once and still be served by deadline.
const defaultAllowance = 12

// Item is a waiting request.
type Item struct {
	ID       uint64
	Team     string
	Weight   int
	Deadline time.Time
}

// Queue is a queue that is fair between teams. It is not safe for concurrent use.
type Queue struct {
	maxPerTeam int
	allowance  float64
	teams      map[string]*teamQueue
	// within holds the teams within their allowance, by deadline.
	within teamHeap
	// over holds the teams over their allowance, by when they are within it again.
	over   teamHeap
	length int
	// totalWeight is the sum of the weights of all teams with waiting requests.
	totalWeight int
	// virtualTime advances by 1/totalWeight with each request. A team whose nextTime
	// is greater is ahead of its share.
	virtualTime float64
	// previousVirtualTime is virtualTime before the last Pop.
	previousVirtualTime float64
}

// Option configures a new queue.
type Option func(*Queue)

// WithMaxPerTeam sets the maximum number of waiting requests of one team.
func WithMaxPerTeam(n int) Option {
	return func(q *Queue) { q.maxPerTeam = n }
}

// WithAllowance sets the number of requests by which a team may exceed its share and
// still be served by deadline, whatever its weight.
func WithAllowance(n float64) Option {
	return func(q *Queue) { q.allowance = n }
}

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{maxPerTeam: defaultMaxPerTeam, allowance: defaultAllowance, teams: map[string]*teamQueue{}}
	q.within.less, q.over.less = earlierDeadline, earlierEligible
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// TeamLen returns the number of waiting requests of a team.
func (q *Queue) TeamLen(team string) int {
	if t, ok := q.teams[team]; ok {
		return len(t.items)
	}
	return 0
}

// Ahead estimates how many requests are served before a new one of the team: the team's
// own that are waiting, and those of other teams that their weights let pass meanwhile.
func (q *Queue) Ahead(team string, weight int) int {
	own := q.TeamLen(team)
	weight = max(1, weight)
	others := q.totalWeight
	if own > 0 {
		others -= weight
	}
	passed := (own + 1) * others / weight
	return own + min(passed, q.length-own)
}

// Push adds a request and reports false if the team's queue is full.
func (q *Queue) Push(item Item) bool {
	t := q.teamQueue(item)
	if len(t.items) >= q.maxPerTeam {
		return false
	}
	q.addItem(t, item)
	return true
}

// UndoPop puts back the request that was popped last and undoes the advance of virtual
// time, so that the request keeps its place.
func (q *Queue) UndoPop(item Item) {
	t := q.teamQueue(item)
	t.nextTime -= 1 / float64(t.weight)
	q.virtualTime = q.previousVirtualTime
	q.addItem(t, item)
}

// teamQueue returns the queue of the request's team and creates it if needed. An empty
// one gets its weight from the request.
func (q *Queue) teamQueue(item Item) *teamQueue {
	t, ok := q.teams[item.Team]
	if !ok {
		t = &teamQueue{team: item.Team, nextTime: q.virtualTime}
		q.teams[item.Team] = t
	}
	if len(t.items) == 0 {
		t.weight = max(1, item.Weight)
	}
	return t
}

// addItem puts a request into its team's queue. A team without waiting requests starts at
// the current virtual time at the earliest, so that it gains nothing from idle time.
func (q *Queue) addItem(t *teamQueue, item Item) {
	heap.Push(&t.items, item)
	q.length++
	if len(t.items) == 1 {
		t.nextTime = max(t.nextTime, q.virtualTime)
		q.totalWeight += t.weight
		q.schedule(t)
		return
	}
	q.unschedule(t)
	q.schedule(t)
}

// schedule puts a team with waiting requests into the heap where it belongs.
func (q *Queue) schedule(t *teamQueue) {
	t.eligibleAt = t.nextTime - q.allowance/float64(t.weight)
	t.heap = &q.within
	if t.eligibleAt > q.virtualTime {
		t.heap = &q.over
	}
	heap.Push(t.heap, t)
}

// unschedule removes a team from its heap.
func (q *Queue) unschedule(t *teamQueue) {
	heap.Remove(t.heap, t.index)
	t.heap = nil
}

// Pop removes and returns the next request.
func (q *Queue) Pop() (Item, bool) {
	if q.length == 0 {
		return Item{}, false
	}
	q.readmit()
	t := q.over.first()
	if q.within.Len() > 0 {
		t = q.within.first()
	}
	item := heap.Pop(&t.items).(Item)
	q.length--
	q.previousVirtualTime = q.virtualTime
	q.virtualTime += 1 / float64(q.totalWeight)
	t.nextTime += 1 / float64(t.weight)
	q.reschedule(t)
	return item, true
}

// readmit moves the teams that are within their allowance again from over to within.
func (q *Queue) readmit() {
	for q.over.Len() > 0 && q.over.first().eligibleAt <= q.virtualTime {
		t := q.over.first()
		q.unschedule(t)
		q.schedule(t)
	}
}

// reschedule restores the order of teams after requests have left a team's queue.
func (q *Queue) reschedule(t *teamQueue) {
	q.unschedule(t)
	if len(t.items) > 0 {
		q.schedule(t)
		return
	}
	q.totalWeight -= t.weight
	if q.length == 0 {
		// No request is waiting: all teams start anew with equal shares.
		clear(q.teams)
		q.virtualTime, q.previousVirtualTime = 0, 0
	}
}

// Remove removes a request, for example because its caller disconnected. It reports
// whether the request was in the queue.
func (q *Queue) Remove(team string, id uint64) bool {
	t, ok := q.teams[team]
	if !ok {
		return false
	}
	for i := range t.items {
		if t.items[i].ID == id {
			heap.Remove(&t.items, i)
			q.length--
			q.reschedule(t)
			return true
		}
	}
	return false
}

// Expired removes and returns all requests whose deadline is not after now.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for _, t := range append(slices.Clone(q.within.queues), q.over.queues...) {
		removed := false
		for len(t.items) > 0 && !t.items[0].Deadline.After(now) {
			expired = append(expired, heap.Pop(&t.items).(Item))
			q.length--
			removed = true
		}
		if removed {
			q.reschedule(t)
		}
	}
	return expired
}
