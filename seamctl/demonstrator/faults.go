package demonstrator

import (
	"fmt"
	"strings"

	"primroseseam.org/seam/coder"
)

//go:generate stringer -type=Fault -linecomment -output=faults_string.go

// Fault is a fault that can be injected into a run.
type Fault int

// The line comments are the names that the command line accepts.
const (
	// FaultSurge makes one team send surgeFactor times its rate.
	FaultSurge Fault = iota // surge
	// FaultKeyWithdrawal withdraws a key that is still used on open connections.
	FaultKeyWithdrawal // keyWithdrawal
	// FaultUpstreamDrain drains one endpoint by a configuration change, and another
	// one that announces the drain itself.
	FaultUpstreamDrain // upstreamDrain
	// FaultGracefulStop stops an instance gracefully.
	FaultGracefulStop // gracefulStop
	// FaultCrash kills an instance.
	FaultCrash // crash
	// FaultStoreOutage makes the store unavailable, and afterwards drops the
	// response to a write that took effect.
	FaultStoreOutage // storeOutage
	// FaultLinkCut cuts the links between the instances of two regions for a time.
	FaultLinkCut // linkCut
	// FaultSilentConnections makes open connections to endpoints drop all data from
	// then on without being closed.
	FaultSilentConnections // silentConnections
	// FaultAnswers makes some upstream responses belong to another request, or be
	// lost, duplicated, truncated, late or errors.
	FaultAnswers // answers

	faultCount
)

// AllFaults returns every fault.
func AllFaults() []Fault {
	faults := make([]Fault, 0, faultCount)
	for f := range faultCount {
		faults = append(faults, f)
	}
	return faults
}

// ParseFaults reads a comma-separated list of names, or "all" or "none".
func ParseFaults(list string) ([]Fault, error) {
	switch list {
	case "all":
		return AllFaults(), nil
	case "none":
		return nil, nil
	}
	var faults []Fault
	for name := range strings.SplitSeq(list, ",") {
		f, ok := faultNamed(strings.TrimSpace(name))
		if !ok {
			return nil, coder.Errorf(coder.ArgumentInvalid, "--fault",
				"unknown fault %q; use all, none or some of %s", name, faultNames())
		}
		faults = append(faults, f)
	}
	return faults, nil
}

func faultNamed(name string) (Fault, bool) {
	for _, f := range AllFaults() {
		if f.String() == name {
			return f, true
		}
	}
	return 0, false
}

func faultNames() string {
	var names []string
	for _, f := range AllFaults() {
		names = append(names, fmt.Sprint(f))
	}
	return strings.Join(names, ",")
}
