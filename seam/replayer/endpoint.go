package replayer

import (
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/tracer"
)

// endpoint simulates one upstream process.
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

// attemptKey identifies an attempt of a request at an endpoint or a peer. The
// request's ID is the one of the sending instance.
type attemptKey struct {
	instance string
	request  uint64
	target   string
	attempt  int
}

// endpointAttempt is the endpoint's state of an attempt.
type endpointAttempt struct {
	key     attemptKey
	call    *call
	team    string
	started time.Time
}

// reply is the endpoint's answer to an attempt.
type reply struct {
	result coder.Code
	ran    coder.Ran
	// load is the reported number of busy slots, or -1 without a load report.
	load     int
	draining bool
	// shed means that the endpoint was draining or had no free slot.
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
// UpstreamGone also drop the running attempts and make the endpoint cold.
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

// receive handles an attempt that arrives over the network, and calls answer
// unless the endpoint is silent.
func (e *endpoint) receive(a *endpointAttempt, answer func(reply)) {
	e.replay.recorder.reached(e, a)
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
	e.replay.recorder.ran(e, a)
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

// cancel ends an attempt whose sender no longer waits for the answer.
func (e *endpoint) cancel(key attemptKey) {
	if a, ok := e.running[key]; ok {
		e.finish(a, func() {})
	}
}

// finish frees the attempt's slot and calls then, unless the attempt has already
// ended.
func (e *endpoint) finish(a *endpointAttempt, then func()) {
	if e.running[a.key] != a {
		return
	}
	delete(e.running, a.key)
	e.busySlots--
	e.replay.recorder.slots(e.config.Region, -1)
	then()
}

// workTime returns how long the endpoint works on a request that starts now: 0.5
// to 1.5 times the mean, multiplied by the cold factor while the endpoint is cold.
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

// reply returns an answer with the endpoint's current load report. The fault
// UpstreamIdleReports makes it report no load.
func (e *endpoint) reply(result coder.Code, ran coder.Ran, size int64) reply {
	load := e.busySlots
	if e.fault == tracer.UpstreamIdleReports {
		load = 0
	}
	return reply{result: result, ran: ran, load: load, draining: e.draining, bytes: size}
}
