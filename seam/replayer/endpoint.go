package replayer

import (
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/tracer"
)

// endpoint is the fake of one upstream process.
type endpoint struct {
	replay   *replay
	service  string
	config   configurer.Endpoint
	profile  tracer.Upstream
	fault    tracer.UpstreamFault
	draining bool
	started  time.Time
	inUse    int
	jobs     map[attemptKey]*job
}

// attemptKey names an attempt of a request.
type attemptKey struct {
	instance string
	request  uint64
	attempt  int
}

// job is an attempt as the endpoint sees it.
type job struct {
	key     attemptKey
	call    *call
	team    string
	started time.Time
}

// reply is the endpoint's answer to an attempt.
type reply struct {
	result   coder.Code
	ran      coder.Ran
	load     int
	draining bool
	bytes    int64
}

func newEndpoint(r *replay, svc configurer.Service, p configurer.Endpoint) *endpoint {
	e := &endpoint{replay: r, service: svc.Name, config: p, jobs: map[attemptKey]*job{}}
	for _, u := range r.trace.Header().Upstreams {
		if u.Service == svc.Name {
			e.profile = u
		}
	}
	e.started = r.world.Now().Add(-time.Duration(e.profile.Cold))
	return e
}

// change sets how the endpoint behaves.
func (e *endpoint) change(fault tracer.UpstreamFault) {
	e.fault = fault
	if fault == tracer.UpstreamRestarted || fault == tracer.UpstreamGone {
		e.replay.world.Crash(e.config.Address)
		e.replay.recorder.slots(e.config.Region, -e.inUse)
		e.inUse = 0
		clear(e.jobs)
		e.started = e.replay.world.Now()
	}
}

// receive takes an attempt from the network.
func (e *endpoint) receive(j *job, answer func(reply)) {
	e.replay.recorder.reached(e, j)
	switch {
	case e.fault == tracer.UpstreamGone:
		answer(reply{result: coder.UpstreamFailed, ran: coder.NotRun, load: -1})
		return
	case e.draining || e.inUse >= e.config.Slots:
		answer(e.reply(coder.UpstreamFailed, coder.NotRun, 0))
		return
	}
	j.started = e.replay.world.Now()
	e.inUse++
	e.jobs[j.key] = j
	e.replay.recorder.ran(e, j)
	e.replay.recorder.slots(e.config.Region, 1)
	switch e.fault {
	case tracer.UpstreamSilent:
	case tracer.UpstreamFailing:
		e.finish(j, func() { answer(e.reply(coder.UpstreamFailed, coder.HasRun, 0)) })
	default:
		e.replay.world.After(e.config.Address, e.work(j), func() {
			e.finish(j, func() { answer(e.reply(coder.OK, coder.HasRun, j.call.answerBytes)) })
		})
	}
}

// cancel ends an attempt that nobody waits for.
func (e *endpoint) cancel(key attemptKey) {
	if j, ok := e.jobs[key]; ok {
		e.finish(j, func() {})
	}
}

// finish frees the attempt's slot, unless that has happened before.
func (e *endpoint) finish(j *job, then func()) {
	if e.jobs[j.key] != j {
		return
	}
	delete(e.jobs, j.key)
	e.inUse--
	e.replay.recorder.slots(e.config.Region, -1)
	then()
}

// work returns how long a request takes now: 0.5 to 1.5 times the mean, and
// more while the endpoint is cold.
func (e *endpoint) work(j *job) time.Duration {
	mean := time.Duration(e.profile.Work)
	if j.call.request.Work > 0 {
		mean = time.Duration(j.call.request.Work)
	}
	took := time.Duration((0.5 + e.replay.world.Rand().Float64()) * float64(mean))
	if e.replay.world.Now().Sub(e.started) < time.Duration(e.profile.Cold) {
		took = time.Duration(float64(took) * max(1, e.profile.ColdFactor))
	}
	return took
}

func (e *endpoint) reply(result coder.Code, ran coder.Ran, size int64) reply {
	load := e.inUse
	if e.fault == tracer.UpstreamIdleReports {
		load = 0
	}
	return reply{result: result, ran: ran, load: load, draining: e.draining, bytes: size}
}
