// Package queuer holds requests that wait for a slot, which is the capacity of an
// upstream for one request at a time. Package decider uses it for the fleet daemon
// seamd. To serve a request is to pop it from the queue.
//
// Teams share the slots by weight. A team is within its allowance while the requests
// served for it exceed its share by no more than a small number, the allowance. Among the
// teams within their allowance, the request with the earliest deadline is served first,
// which keeps the longest wait short. The teams over their allowance are served only if
// no team within its allowance has a waiting request, so that a long queue of one team
// doesn't delay the others. Within a team, the request with the earliest deadline is
// served first.
//
// Shares are tracked in virtual time, as in weighted fair queuing. Each request that is
// served advances virtual time by 1 divided by the sum of the weights of all teams with
// waiting requests. While virtual time advances by 1, the share of each of these teams is
// as many requests as its weight.
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

// defaultAllowance is the number of requests by which a team may exceed its share and
// still be served by deadline. It is about the number of slots that a service's endpoints
// have in one region, so that a team may fill them all at once.
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
	// maxPerTeam is the maximum number of waiting requests of one team.
	maxPerTeam int
	// allowance is the number of requests by which a team may exceed its share and still
	// be served by deadline.
	allowance float64
	teams     map[string]*teamQueue
	// withinAllowance holds the teams with waiting requests that are within their
	// allowance, ordered by the earliest deadline of a team's requests.
	withinAllowance teamHeap
	// overAllowance holds the other teams with waiting requests, ordered by the virtual
	// time from which each team is within its allowance again.
	overAllowance teamHeap
	// length is the number of waiting requests of all teams.
	length int
	// totalWeight is the sum of the weights of all teams with waiting requests.
	totalWeight int
	// virtualTime grows by 1/totalWeight with each request that Pop returns. A team has
	// been served more than its share if the field nextTime of its teamQueue is greater
	// than virtualTime.
	virtualTime float64
	// previousVirtualTime is the value of virtualTime before the last Pop.
	previousVirtualTime float64
}

// Option configures a new queue.
type Option func(*Queue)

// WithMaxPerTeam sets the maximum number of waiting requests of one team.
func WithMaxPerTeam(n int) Option {
	return func(q *Queue) { q.maxPerTeam = n }
}

// WithAllowance sets the number of requests by which a team may exceed its share and
// still be served by deadline. The number is the same for all teams, whatever their weight.
func WithAllowance(n float64) Option {
	return func(q *Queue) { q.allowance = n }
}

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{maxPerTeam: defaultMaxPerTeam, allowance: defaultAllowance, teams: map[string]*teamQueue{}}
	q.withinAllowance.less, q.overAllowance.less = earlierDeadline, earlierEligible
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

// Ahead returns an estimate of the number of waiting requests that are served before a
// new request of the team. It counts all waiting requests of the team itself. For each
// request of the team, the new one included, it also counts the requests that the other
// teams may be served meanwhile according to their weights.
func (q *Queue) Ahead(team string, weight int) int {
	own := q.TeamLen(team)
	weight = max(1, weight)
	others := q.totalWeight
	if own > 0 {
		others -= weight
	}
	othersAhead := (own + 1) * others / weight
	return own + min(othersAhead, q.length-own)
}

// Push adds a request to the queue. If the number of the team's waiting requests has
// reached its maximum, Push adds nothing and returns false.
func (q *Queue) Push(item Item) bool {
	t := q.teamQueue(item)
	if len(t.items) >= q.maxPerTeam {
		return false
	}
	q.addItem(t, item)
	return true
}

// UndoPop puts back the request that the last Pop returned, and sets virtual time and the
// team's nextTime back to their values before that Pop, so that the request keeps its
// place.
func (q *Queue) UndoPop(item Item) {
	t := q.teamQueue(item)
	t.nextTime -= 1 / float64(t.weight)
	q.virtualTime = q.previousVirtualTime
	q.addItem(t, item)
}

// teamQueue returns the queue of the request's team and creates the queue if needed. If
// the queue is empty, its weight is set to that of the request, or 1 if that is less.
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

// addItem puts a request into its team's queue. If the team had no waiting requests, its
// nextTime is raised to the current virtual time if it is lower. Otherwise the team could
// claim its share of the time in which it had no waiting requests.
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

// schedule puts a team with waiting requests into the heap of the teams within their
// allowance or into that of the teams over their allowance.
func (q *Queue) schedule(t *teamQueue) {
	t.eligibleAt = t.nextTime - q.allowance/float64(t.weight)
	t.heap = &q.withinAllowance
	if t.eligibleAt > q.virtualTime {
		t.heap = &q.overAllowance
	}
	heap.Push(t.heap, t)
}

// unschedule removes a team from the heap that holds it.
func (q *Queue) unschedule(t *teamQueue) {
	heap.Remove(t.heap, t.index)
	t.heap = nil
}

// Pop removes and returns the request to serve next. It returns false if the queue is
// empty.
func (q *Queue) Pop() (Item, bool) {
	if q.length == 0 {
		return Item{}, false
	}
	q.readmit()
	t := q.overAllowance.first()
	if q.withinAllowance.Len() > 0 {
		t = q.withinAllowance.first()
	}
	item := heap.Pop(&t.items).(Item)
	q.length--
	q.previousVirtualTime = q.virtualTime
	q.virtualTime += 1 / float64(q.totalWeight)
	t.nextTime += 1 / float64(t.weight)
	q.reschedule(t)
	return item, true
}

// readmit moves teams from the heap overAllowance to the heap withinAllowance if virtual
// time has advanced so far that they are within their allowance again.
func (q *Queue) readmit() {
	for q.overAllowance.Len() > 0 && q.overAllowance.first().eligibleAt <= q.virtualTime {
		t := q.overAllowance.first()
		q.unschedule(t)
		q.schedule(t)
	}
}

// reschedule restores the order of teams after requests were removed from a team's queue.
func (q *Queue) reschedule(t *teamQueue) {
	q.unschedule(t)
	if len(t.items) > 0 {
		q.schedule(t)
		return
	}
	q.totalWeight -= t.weight
	if q.length == 0 {
		// No request is waiting. The record of how much each team was served is cleared.
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

// Expired removes the requests whose deadline is not after now, and returns them.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for _, t := range append(slices.Clone(q.withinAllowance.queues), q.overAllowance.queues...) {
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
