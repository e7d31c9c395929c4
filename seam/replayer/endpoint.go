package replayer

import (
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/tracer"
)

// endpoint simulates one upstream process, which runs the requests of one service. Each
// running request occupies one of the endpoint's slots.
type endpoint struct {
	replay    *replay
	service   string
	config    configurer.Endpoint
	profile   tracer.Upstream
	fault     tracer.UpstreamFault
	draining  bool
	started   time.Time
	busySlots int
	running   map[attemptKey]*endpointAttempt
}

// attemptKey identifies an attempt: one sending of a request from an instance to an
// endpoint or to a peer, which is another instance. The field request is the ID that the
// sending instance gave the request, target is the endpoint's address or the peer's ID.
type attemptKey struct {
	instance string
	request  uint64
	target   string
	attempt  int
}

// endpointAttempt is the state of an attempt at an endpoint. The field team is the team
// that the sending instance states for the request.
type endpointAttempt struct {
	key     attemptKey
	call    *call
	team    string
	started time.Time
}

// reply is an endpoint's answer to an attempt, with the load report that the endpoint
// adds to it.
type reply struct {
	result coder.Code
	ran    coder.Ran
	// load is the reported number of busy slots, or -1 if the reply has no load report.
	load     int
	draining bool
	// shed means that the endpoint rejected the attempt because it was draining or had
	// no free slot.
	shed  bool
	bytes int64
}

func newEndpoint(r *replay, svc configurer.Service, p configurer.Endpoint) *endpoint {
	e := &endpoint{replay: r, service: svc.Name, config: p, running: map[attemptKey]*endpointAttempt{}}
	for _, u := range r.trace.Header().Upstreams {
		if u.Service == svc.Name {
			e.profile = u
		}
	}
	e.started = r.world.Now().Add(-time.Duration(e.profile.Cold))
	return e
}

// setFault sets how the endpoint behaves from now on. UpstreamRestarted and
// UpstreamGone also drop the running attempts and restart the cold period, in which the
// endpoint is slower.
func (e *endpoint) setFault(fault tracer.UpstreamFault) {
	e.fault = fault
	if fault == tracer.UpstreamRestarted || fault == tracer.UpstreamGone {
		e.replay.world.Crash(e.config.Address)
		e.replay.recorder.slots(e.config.Region, -e.busySlots)
		e.busySlots = 0
		clear(e.running)
		e.started = e.replay.world.Now()
	}
}

// receive handles an attempt that arrives over the network. If the endpoint is gone,
// draining or full, it calls answer at once with an error. Otherwise the attempt runs,
// and answer is called at its end. An endpoint with the fault UpstreamSilent runs the
// attempt without an end. Answer isn't called for attempts that are cancelled or dropped.
func (e *endpoint) receive(a *endpointAttempt, answer func(reply)) {
	e.replay.recorder.attemptArrived(e, a)
	switch {
	case e.fault == tracer.UpstreamGone:
		answer(reply{result: coder.UpstreamFailed, ran: coder.NotRun, load: -1})
		return
	case e.draining || e.busySlots >= e.config.Slots:
		shed := e.reply(coder.UpstreamFailed, coder.NotRun, 0)
		shed.shed = true
		answer(shed)
		return
	}
	a.started = e.replay.world.Now()
	e.busySlots++
	e.running[a.key] = a
	e.replay.recorder.attemptStarted(e, a)
	e.replay.recorder.slots(e.config.Region, 1)
	switch e.fault {
	case tracer.UpstreamSilent:
	case tracer.UpstreamFailing:
		e.finish(a, func() { answer(e.reply(coder.UpstreamFailed, coder.HasRun, 0)) })
	default:
		e.replay.world.After(e.config.Address, e.workTime(a), func() {
			e.finish(a, func() { answer(e.reply(coder.OK, coder.HasRun, a.call.answerBytes)) })
		})
	}
}

// cancel ends a running attempt without an answer, because the sender no longer waits
// for one.
func (e *endpoint) cancel(key attemptKey) {
	if a, ok := e.running[key]; ok {
		e.finish(a, func() {})
	}
}

// finish ends a running attempt: it frees the attempt's slot and calls the function
// then. It does nothing if the attempt has already ended.
func (e *endpoint) finish(a *endpointAttempt, then func()) {
	if e.running[a.key] != a {
		return
	}
	delete(e.running, a.key)
	e.busySlots--
	e.replay.recorder.slots(e.config.Region, -1)
	then()
}

// workTime returns how long the endpoint takes for a request that starts now: a random
// time from 0.5 to 1.5 times the mean. During the cold period after the endpoint's start,
// it is multiplied by the cold factor.
func (e *endpoint) workTime(a *endpointAttempt) time.Duration {
	mean := time.Duration(e.profile.Work)
	if a.call.request.Work > 0 {
		mean = time.Duration(a.call.request.Work)
	}
	took := time.Duration((0.5 + e.replay.world.Rand().Float64()) * float64(mean))
	if e.replay.world.Now().Sub(e.started) < time.Duration(e.profile.Cold) {
		took = time.Duration(float64(took) * max(1, e.profile.ColdFactor))
	}
	return took
}

// reply returns an answer with the endpoint's current load report. With the fault
// UpstreamIdleReports, the reported load is 0.
func (e *endpoint) reply(result coder.Code, ran coder.Ran, size int64) reply {
	load := e.busySlots
	if e.fault == tracer.UpstreamIdleReports {
		load = 0
	}
	return reply{result: result, ran: ran, load: load, draining: e.draining, bytes: size}
}
