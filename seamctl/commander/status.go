package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/storer"
)

// instanceState is the state of one instance as the status command prints it.
type instanceState struct {
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Listed is the instance's state in the platform's instance list.
	Listed    storer.InstanceState `json:"listed"`
	Reachable bool                 `json:"reachable"`
	// The fields below are reported by the instance, and zero if it can't be reached.

	// Leaving means that the instance is shutting down.
	Leaving       bool  `json:"leaving"`
	ConfigVersion int64 `json:"configVersion"`
	// Keys is the number of API keys that the instance holds.
	Keys int `json:"keys"`
	// KeyEvidenceAgeMS is the number of milliseconds since the instance's keys were last
	// known to include every change that the store had accepted.
	KeyEvidenceAgeMS int64 `json:"keyEvidenceAgeMs"`
	StoreReachable   bool  `json:"storeReachable"`
	// Watcher means that the instance watches the store on behalf of the other instances
	// in its region.
	Watcher bool `json:"watcher"`
}

func statusCommand() *cobra.Command {
	var p platformFlags
	var format outputFormat
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of every instance and what it has in force",
		Long:  "Asks every instance in the platform's instance list. Exits with 1 if one can't be reached,\nand with 5 if they run different versions of the configuration.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := format.check(); err != nil {
				return err
			}
			return p.withStore(cmd.Context(), func(ctx context.Context, store storer.Store) error {
				progress, err := applier.NewAwaiter(store).Status(ctx)
				if err != nil {
					return err
				}
				states := instanceStates(progress)
				if err := format.print(cmd.OutOrStdout(), statusTable(states), states); err != nil {
					return err
				}
				return checkStates(states)
			})
		},
	}
	p.addFlags(cmd)
	format.addFlag(cmd)
	return cmd
}

func instanceStates(progress []applier.Progress) []instanceState {
	states := make([]instanceState, 0, len(progress))
	for _, p := range progress {
		states = append(states, instanceState{
			Instance: p.Instance.ID, Region: p.Instance.Region, FailureDomain: p.Instance.FailureDomain,
			Listed: p.Instance.State, Reachable: p.Err == nil, Leaving: p.Status.Leaving,
			ConfigVersion: p.Status.ConfigVersion, Keys: p.Status.Keys,
			KeyEvidenceAgeMS: p.Status.KeyEvidenceAgeMS, StoreReachable: p.Status.StoreReachable, Watcher: p.Status.Watcher,
		})
	}
	return states
}

func statusTable(states []instanceState) table {
	t := table{columns: []string{"INSTANCE", "REGION", "DOMAIN", "LISTED", "REACHABLE", "LEAVING", "CONFIG", "KEYS", "EVIDENCE AGE", "STORE", "WATCHER"}}
	for _, s := range states {
		age := time.Duration(s.KeyEvidenceAgeMS) * time.Millisecond
		t.add(s.Instance, s.Region, s.FailureDomain, string(s.Listed), yesNo(s.Reachable), yesNo(s.Leaving),
			fmt.Sprint(s.ConfigVersion), fmt.Sprint(s.Keys), age.String(), yesNo(s.StoreReachable), yesNo(s.Watcher))
	}
	return t
}

func yesNo(on bool) string {
	if on {
		return "yes"
	}
	return "no"
}

// checkStates returns an error for the first instance that can't be reached, or whose
// configuration version differs from that of the preceding instance in the list. No
// comparison is made if the preceding instance has version 0, which means that it has no
// configuration.
func checkStates(states []instanceState) error {
	var version int64
	for _, s := range states {
		switch {
		case !s.Reachable:
			return fmt.Errorf("instance %s can't be reached", s.Instance)
		case version != 0 && s.ConfigVersion != version:
			return coder.Errorf(coder.ConfigNotInForce, s.Instance, "runs version %d, another instance %d", s.ConfigVersion, version)
		}
		version = s.ConfigVersion
	}
	return nil
}
