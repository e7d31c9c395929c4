package daemon

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seamd/forwarder"
	"primroseseam.org/seamd/loader"
)

// samplePeriod is the period after which sampling starts to count log lines anew.
const samplePeriod = time.Second

// decisionLog logs the routing decisions, one line each.
type decisionLog struct{ log *zap.Logger }

// newDecisionLog returns a decision log with the given sampling. In each samplePeriod, it
// logs the first s.First lines with the same message, and after these every
// s.Thereafter-th line. If s.First is 0, it logs all lines.
func newDecisionLog(log *zap.Logger, s loader.Sampling) decisionLog {
	if s.First <= 0 {
		return decisionLog{log: log}
	}
	samplingOption := zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, samplePeriod, s.First, s.Thereafter)
	})
	return decisionLog{log: log.WithOptions(samplingOption)}
}

// logForward logs that a request was sent to an endpoint.
func (l decisionLog) logForward(c decider.Forward) {
	entry := l.log.Check(zapcore.InfoLevel, "route: forwarded")
	if entry == nil {
		return
	}
	entry.Write(
		zap.Uint64("request", c.ID), zap.String("team", c.Decision.Team), zap.String("service", c.Decision.Service),
		zap.Int("candidates", c.Decision.Candidates), zap.String("choice", c.Endpoint),
		zap.Int("code", int(coder.OK)), zap.Int("attempt", c.Attempt), zap.Duration("waited", c.Decision.Waited))
}

// logPass logs that a request was passed to another instance.
func (l decisionLog) logPass(c decider.Pass) {
	entry := l.log.Check(zapcore.InfoLevel, "route: passed")
	if entry == nil {
		return
	}
	entry.Write(
		zap.Uint64("request", c.ID), zap.String("team", c.Decision.Team), zap.String("service", c.Decision.Service),
		zap.String("choice", c.Peer), zap.Bool("home", c.Home))
}

// logRefusal logs that a request was refused.
func (l decisionLog) logRefusal(c decider.Refuse) {
	entry := l.log.Check(zapcore.InfoLevel, "route: refused")
	if entry == nil {
		return
	}
	entry.Write(
		zap.Uint64("request", c.ID), zap.String("team", c.Decision.Team), zap.String("service", c.Decision.Service),
		zap.Int("candidates", c.Decision.Candidates), zap.Int("code", int(c.Code)), zap.Stringer("reason", c.Code),
		zap.String("notRun", forwarder.FormatRan(c.Ran)), zap.Duration("waited", c.Decision.Waited))
}
