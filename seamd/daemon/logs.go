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

// samplePeriod is the time over which decision lines are thinned out.
const samplePeriod = time.Second

// decisionLog writes a line for each routing decision.
type decisionLog struct{ log *zap.Logger }

// newDecisionLog thins out the lines as the settings say; a sampling of zero
// keeps all.
func newDecisionLog(log *zap.Logger, s loader.Sampling) decisionLog {
	if s.First <= 0 {
		return decisionLog{log: log}
	}
	thinned := zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, samplePeriod, s.First, s.Thereafter)
	})
	return decisionLog{log: log.WithOptions(thinned)}
}

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

func (l decisionLog) passed(c decider.Pass) {
	entry := l.log.Check(zapcore.InfoLevel, "route: passed")
	if entry == nil {
		return
	}
	entry.Write(
		zap.Uint64("request", c.ID), zap.String("team", c.Decision.Team), zap.String("service", c.Decision.Service),
		zap.String("choice", c.Peer), zap.Bool("home", c.Home))
}

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
