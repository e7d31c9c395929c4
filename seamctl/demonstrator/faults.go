package demonstrator

import (
	"fmt"
	"strings"

	"primroseseam.org/seam/coder"
)

//go:generate stringer -type=Fault -linecomment -output=faults_string.go

// Fault is a failure that a run can contain.
type Fault int

// The faults by the names that the command line takes.
const (
	// FaultSurge makes one team send several times its rate.
	FaultSurge Fault = iota // surge
	// FaultKeyWithdrawal withdraws a key whose caller stays connected.
	FaultKeyWithdrawal // keyWithdrawal
	// FaultUpstreamDrain drains one endpoint by configuration, and another
	// that announces it itself.
	FaultUpstreamDrain // upstreamDrain
	// FaultGracefulStop stops an instance as planned.
	FaultGracefulStop // gracefulStop
	// FaultCrash ends an instance at once.
	FaultCrash // crash
	// FaultStoreOutage takes the store down, then loses a write's answer.
	FaultStoreOutage // storeOutage
	// FaultLinkCut cuts the links between instances of two regions.
	FaultLinkCut // linkCut
	// FaultSilentConnections silences open connections to endpoints for good.
	FaultSilentConnections // silentConnections
	// FaultAnswers makes answers late, crossed, duplicated, cut short or lost.
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
				"no fault %q; use all, none or some of %s", name, faultNames())
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
