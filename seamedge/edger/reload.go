package edger

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/conductor"
)

// settingsPollInterval is how often the instance checks whether the settings file has
// changed. A changed file is reloaded even without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// fileState holds the size and modification time of a file. If either differs, the
// contents may have changed.
type fileState struct {
	size     int64
	modified time.Time
}

// statFile returns the state of a file, or the zero state if it can't be read.
func statFile(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{size: info.Size(), modified: info.ModTime()}
}

// watchSettings reloads the settings after a SIGHUP or a change of the file, until
// ctx ends.
func (e *Edge) watchSettings(ctx context.Context, path string, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastState := statFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if statFile(path) == lastState {
				continue
			}
		}
		lastState = statFile(path)
		e.reload(path)
	}
}

// reload reads the settings file and applies the changes of fields that can change while the
// instance runs, also while it stops; see settingsFields. It logs each change, and whether it
// needs a restart. If the settings are invalid, it logs this and applies nothing.
func (e *Edge) reload(path string) {
	loaded, err := LoadSettings(path)
	if err != nil {
		e.log.Error("reload: invalid settings ignored", zap.Int("code", int(coder.CodeOf(err))), zap.Error(err))
		return
	}
	before := e.current.Load()
	next, err := before.withLive(&loaded)
	if err != nil {
		e.log.Error("reload: invalid settings ignored", zap.Int("code", int(coder.CodeOf(err))), zap.Error(err))
		return
	}
	for _, c := range changes(before, &loaded) {
		message := "reload: field applied"
		if !c.live {
			message = "reload: field needs a restart"
		}
		e.log.Info(message, zap.String("field", c.path), zap.Any("before", c.before), zap.Any("after", c.after))
	}
	e.current.Store(&next)
	e.applySettings(&next)
	e.log.Info("reload: settings applied", zap.Strings("peers", e.peers.allAddresses()))
}

// applySettings applies the live fields that aren't read from e.current where they are used.
func (e *Edge) applySettings(s *Settings) {
	e.peers.setSeeds(s.peerAddresses())
	e.update(conductor.BoundsChanged{Bounds: s.conductorBounds()})
	e.logs.SetLinesPerSecond(s.Log.LinesPerSecond)
	debug.SetGCPercent(s.Memory.CollectPercent)
}

// notifyHangups returns a channel that receives each SIGHUP, which is a request to reload
// the settings. The returned function stops the delivery of signals to the channel.
func notifyHangups() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}
