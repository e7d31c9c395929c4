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

// samplePeriod is the period in which sampling counts decision lines.
const samplePeriod = time.Second

// decisionLog logs each routing decision.
type decisionLog struct{ log *zap.Logger }

// newDecisionLog returns a decision log with the given sampling: in each period, it
// logs the first s.First lines of a message, then every s.Thereafter-th. If s.First is
// 0, it logs all lines.
func newDecisionLog(log *zap.Logger, s loader.Sampling) decisionLog {
	if s.First <= 0 {
		return decisionLog{log: log}
	}
	sampled := zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, samplePeriod, s.First, s.Thereafter)
	})
	return decisionLog{log: log.WithOptions(sampled)}
}

// forwarded logs that a request was sent to an endpoint.
func (l decisionLog) forwarded(c decider.Forward) {
	entry := l.log.Check(zapcore.InfoLevel, "route: forwarded")
	if entry == nil {
		return
	}
	entry.Write(
		zap.Uint64("request", c.ID), zap.String("team", c.Decision.Team), zap.String("service", c.Decision.Service),
		zap.Int("candidates", c.Decision.Candidates), zap.String("choice", c.Endpoint),
		zap.Int("code", int(coder.OK)), zap.Int("attempt", c.Attempt), zap.Duration("waited", c.Decision.Waited))
}

// passed logs that a request was passed to another instance.
func (l decisionLog) passed(c decider.Pass) {
	entry := l.log.Check(zapcore.InfoLevel, "route: passed")
	if entry == nil {
		return
	}
	entry.Write(
		zap.Uint64("request", c.ID), zap.String("team", c.Decision.Team), zap.String("service", c.Decision.Service),
		zap.String("choice", c.Peer), zap.Bool("home", c.Home))
}

// refused logs that a request was refused.
func (l decisionLog) refused(c decider.Refuse) {
	entry := l.log.Check(zapcore.InfoLevel, "route: refused")
	if entry == nil {
		return
	}
	entry.Write(
		zap.Uint64("request", c.ID), zap.String("team", c.Decision.Team), zap.String("service", c.Decision.Service),
		zap.Int("candidates", c.Decision.Candidates), zap.Int("code", int(c.Code)), zap.Stringer("reason", c.Code),
		zap.String("notRun", forwarder.FormatRan(c.Ran)), zap.Duration("waited", c.Decision.Waited))
}
