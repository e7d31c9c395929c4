package demonstrator

import (
	"fmt"
	"strings"

	"primroseseam.org/seam/coder"
)

//go:generate stringer -type=Fault -linecomment -output=faults_string.go

// Fault is a fault that can be injected into a run.
type Fault int

// The comment at the end of each constant's line is the name that String returns and
// that ParseFaults accepts.
const (
	// FaultSurge makes one team send surgeFactor times its rate limit, for a fifth of
	// the run.
	FaultSurge Fault = iota // surge
	// FaultKeyWithdrawal withdraws an API key while requests with it are sent over
	// open connections.
	FaultKeyWithdrawal // keyWithdrawal
	// FaultUpstreamDrain drains two endpoints. A configuration change drains the
	// first endpoint; the last endpoint announces its drain in its responses.
	FaultUpstreamDrain // upstreamDrain
	// FaultGracefulStop stops the busiest instance gracefully.
	FaultGracefulStop // gracefulStop
	// FaultCrash kills the busiest instance.
	FaultCrash // crash
	// FaultStoreOutage makes the store unavailable for a time. Afterwards, the store
	// applies a write but drops the response to it.
	FaultStoreOutage // storeOutage
	// FaultLinkCut interrupts, for a time, the connections between the instances of
	// one region and the instances of another region.
	FaultLinkCut // linkCut
	// FaultSilentConnections makes the open connections to some endpoints drop all
	// data without being closed. New connections work.
	FaultSilentConnections // silentConnections
	// FaultAnswers makes some responses of the upstreams wrong: a response belongs to
	// another request, is lost, duplicated, truncated or late, or is an error.
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

// ParseFaults returns the faults with the names in a comma-separated list. The list may
// also be "all" or "none". An unknown name is an ArgumentInvalid error.
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
