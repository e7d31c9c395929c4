package main

import (
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// A hangup that comes while the process starts doesn't end it.
func TestEarlyHangupsAreHeld(t *testing.T) {
	holdHangups()
	for range 3 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ignoredAtStart is taken before any test listens for signals.
var ignoredAtStart = signal.Ignored(syscall.SIGHUP)

func TestHangupsBeforeTheRuntimeStartsAreIgnored(t *testing.T) {
	if !ignoredAtStart {
		t.Error("a hangup ends the process until main runs")
	}
}
