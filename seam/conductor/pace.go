package conductor

import "time"

const (
	// paceLearn is the part by which an answer moves what is known of a route.
	paceLearn = 0.2
	// paceQuick is the part of the time expected of a service below which a
	// route counts as quicker than the service's other routes.
	paceQuick = 0.7
	// paceTry is how long after its last answer a route that is not known to be
	// quick is tried again.
	paceTry = 5 * time.Second
)

// pace is how long the requests of a route, or of a service, take as a part of
// what was expected. A service learns from all its routes, and some may be quicker.
type pace struct {
	part  float64
	known bool
	// at is when something was learned last, or a trial began.
	at time.Time
}

// paces holds paces by the names of routes or of services.
type paces map[string]*pace

// of returns the pace of a name, a new one if there is none.
func (l paces) of(name string) *pace {
	p, ok := l[name]
	if !ok {
		p = &pace{}
		l[name] = p
	}
	return p
}

// expect returns how long a request should take that waits for some of the time
// expected of its service. A route of which nothing was learned lately is taken to be
// quick for one request, if a slot is free for it.
func (p *pace) expect(now time.Time, expected, wait time.Duration, service *pace) time.Duration {
	switch {
	case p.known && p.part < paceQuick*service.part:
		return wait + time.Duration(p.part/service.part*float64(expected-wait))
	case wait == 0 && now.Sub(p.at) > paceTry:
		p.at = now
		return 0
	}
	return expected
}

// learn takes how long an attempt took, of which it was expected to wait for some.
// One that timed out says that the route is not quicker; other failures say nothing.
func (p *pace) learn(now time.Time, took, expected, wait time.Duration, o Outcome) {
	if wait > 0 || expected <= 0 || !o.Good() && !o.TimedOut {
		return
	}
	part := float64(took) / float64(expected)
	if o.TimedOut {
		part = max(part, 1)
	}
	p.at = now
	if !p.known {
		p.known = true
		p.part = part
		return
	}
	p.part += paceLearn * (part - p.part)
}
