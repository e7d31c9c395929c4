package edger

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/conductor"
)

// reloadEvery is how often the settings file is looked at; it may change without
// a signal.
const reloadEvery = 2 * time.Second

// fileState tells two contents of a file apart without reading it.
type fileState struct {
	size     int64
	modified time.Time
}

func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{size: info.Size(), modified: info.ModTime()}
}

// watchSettings takes changes of the settings file until ctx ends.
func (e *Edge) watchSettings(ctx context.Context, path string, hangups <-chan os.Signal) {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	last := stateOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if stateOf(path) == last {
				continue
			}
		}
		last = stateOf(path)
		e.reload(path)
	}
}

// reload takes what may change while the instance runs. Invalid settings change
// nothing.
func (e *Edge) reload(path string) {
	settings, err := LoadSettings(path)
	if err != nil {
		e.log.Error("reload: settings not taken", zap.Int("code", int(coder.Of(err))), zap.Error(err))
		return
	}
	if settings.Instance != e.settings.Instance || settings.Listen != e.settings.Listen || settings.Store != e.settings.Store {
		e.log.Warn("reload: identity and addresses change at the next start only")
	}
	for _, address := range settings.peerAddresses() {
		e.peers.add(address, "", time.Time{}, true)
	}
	e.update(conductor.BoundsChanged{Bounds: settings.conductorBounds()})
	e.log.Info("reload: settings taken", zap.Strings("peers", e.peers.addresses()))
}

// hangups returns the signals that ask for a reload.
func hangups() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}
