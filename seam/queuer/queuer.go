// Package queuer holds requests that wait for an upstream slot.
//
// Teams share by weight. A team that has had no more than its share plus a
// small allowance is served in the order of deadlines among all such teams,
// which keeps the longest wait short. A team over its allowance goes after
// those, so that a long queue delays only itself. Inside a team the request
// with the earliest deadline goes first.
//
// # Usage
//
//	q := queuer.New(queuer.WithMaxPerTeam(100))
//	q.Push(queuer.Item{ID: 7, Team: "clerks", Deadline: deadline})
//	next, ok := q.Pop()
//	q.Return(next) // it can't be forwarded yet and keeps its turn
package queuer

import (
	"container/heap"
	"slices"
	"time"
)

// defaultMaxPerTeam is the number of requests of one team that may wait.
const defaultMaxPerTeam = 512

// defaultAllowance is about the slots of one region's endpoints: a team may
// start that many requests at once without losing its place.
const defaultAllowance = 12

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
	allowance  float64
	teams      map[string]*lane
	// within holds the lanes inside their allowance, by deadline.
	within laneHeap
	// over holds the lanes beyond it, by when they come back within.
	over   laneHeap
	length int
	// weights is the sum over the lanes that hold requests.
	weights int
	// virtual is the turn up to which an even share has been served. It moves
	// with every request by one over the waiting teams' weights.
	virtual float64
	// before is the value of virtual before the last Pop.
	before float64
}

// Option changes a queue at its creation.
type Option func(*Queue)

// WithMaxPerTeam sets the number of requests of one team that may wait.
func WithMaxPerTeam(n int) Option {
	return func(q *Queue) { q.maxPerTeam = n }
}

// WithAllowance sets the number of requests by which a team of weight 1 may be
// ahead of its share and still go by deadline.
func WithAllowance(n float64) Option {
	return func(q *Queue) { q.allowance = n }
}

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{maxPerTeam: defaultMaxPerTeam, allowance: defaultAllowance, teams: map[string]*lane{}}
	q.within.less, q.over.less = earlierDeadline, earlierTurn
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

// Ahead estimates how many requests go before a new one of the team: its own
// that wait already, and what the other teams' weights let pass meanwhile.
func (q *Queue) Ahead(team string, weight int) int {
	own := q.TeamLen(team)
	weight = max(1, weight)
	others := q.weights
	if own > 0 {
		others -= weight
	}
	passed := (own + 1) * others / weight
	return own + min(passed, q.length-own)
}

// Push adds a request and reports false if the team's queue is full.
func (q *Queue) Push(item Item) bool {
	l := q.lane(item)
	if len(l.items) >= q.maxPerTeam {
		return false
	}
	q.add(l, item)
	return true
}

// UndoPop puts back the request that was popped last and gives its team the
// turn again.
func (q *Queue) UndoPop(item Item) {
	l := q.lane(item)
	l.turn -= 1 / float64(l.weight)
	q.virtual = q.before
	q.add(l, item)
}

// lane returns the team's lane. One that was empty starts at the present turn
// at the earliest: idle time earns no turns.
func (q *Queue) lane(item Item) *lane {
	l, ok := q.teams[item.Team]
	if !ok {
		l = &lane{team: item.Team, turn: q.virtual}
		q.teams[item.Team] = l
	}
	if len(l.items) == 0 {
		l.weight = max(1, item.Weight)
	}
	return l
}

func (q *Queue) add(l *lane, item Item) {
	heap.Push(&l.items, item)
	q.length++
	if len(l.items) == 1 {
		l.turn = max(l.turn, q.virtual)
		q.weights += l.weight
		q.place(l)
		return
	}
	q.leave(l)
	q.place(l)
}

// place puts a lane that holds requests where its turn belongs.
func (q *Queue) place(l *lane) {
	l.back = l.turn - q.allowance/float64(l.weight)
	l.heap = &q.within
	if l.back > q.virtual {
		l.heap = &q.over
	}
	heap.Push(l.heap, l)
}

func (q *Queue) leave(l *lane) {
	heap.Remove(l.heap, l.index)
	l.heap = nil
}

// Pop removes and returns the next request.
func (q *Queue) Pop() (Item, bool) {
	if q.length == 0 {
		return Item{}, false
	}
	q.readmit()
	l := q.over.first()
	if q.within.Len() > 0 {
		l = q.within.first()
	}
	item := heap.Pop(&l.items).(Item)
	q.length--
	q.before = q.virtual
	q.virtual += 1 / float64(q.weights)
	l.turn += 1 / float64(l.weight)
	q.settle(l)
	return item, true
}

// readmit moves the lanes that are within their allowance again.
func (q *Queue) readmit() {
	for q.over.Len() > 0 && q.over.first().back <= q.virtual {
		l := q.over.first()
		q.leave(l)
		q.place(l)
	}
}

// settle restores the order of lanes after one has lost requests.
func (q *Queue) settle(l *lane) {
	q.leave(l)
	if len(l.items) > 0 {
		q.place(l)
		return
	}
	q.weights -= l.weight
	if q.length == 0 {
		// Nobody waits: all teams start anew.
		clear(q.teams)
		q.virtual, q.before = 0, 0
	}
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
			q.settle(l)
			return true
		}
	}
	return false
}

// Expired removes and returns all requests whose deadline is not after now.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for _, l := range append(slices.Clone(q.within.lanes), q.over.lanes...) {
		removed := false
		for len(l.items) > 0 && !l.items[0].Deadline.After(now) {
			expired = append(expired, heap.Pop(&l.items).(Item))
			q.length--
			removed = true
		}
		if removed {
			q.settle(l)
		}
	}
	return expired
}
