package main

import (
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// A SIGHUP that arrives before the instance listens for the signal must not end the
// process.
func TestEarlyHangupsDoNotEndTheProcess(t *testing.T) {
	catchHangups()
	for range 3 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ignoredAtStart is whether SIGHUP is ignored before any test listens for signals.
var ignoredAtStart = signal.Ignored(syscall.SIGHUP)

// The C code in hangup.c must ignore SIGHUP before the Go runtime starts.
func TestHangupsBeforeTheRuntimeStartsAreIgnored(t *testing.T) {
	if !ignoredAtStart {
		t.Error("SIGHUP is not ignored at the start and ends the process until main runs")
	}
}
