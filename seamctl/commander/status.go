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

// instanceState is a line of the status.
type instanceState struct {
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Listed is what the platform's list says.
	Listed    storer.InstanceState `json:"listed"`
	Reachable bool                 `json:"reachable"`
	// The rest is what the instance says of itself.
	Leaving          bool  `json:"leaving"`
	ConfigVersion    int64 `json:"configVersion"`
	Keys             int   `json:"keys"`
	KeyEvidenceAgeMS int64 `json:"keyEvidenceAgeMs"`
	StoreReachable   bool  `json:"storeReachable"`
	Watcher          bool  `json:"watcher"`
}

func statusCommand() *cobra.Command {
	var p platform
	var out output
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show what is in force at every instance",
		Long:  "Asks every instance of the platform's list. Exits 1 if one can't be reached and 5 if\nthey run different versions of the configuration.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.check(); err != nil {
				return err
			}
			return p.withStore(cmd.Context(), func(ctx context.Context, store storer.Store) error {
				progress, err := applier.NewAwaiter(store).Status(ctx)
				if err != nil {
					return err
				}
				states := statesOf(progress)
				if err := out.print(cmd.OutOrStdout(), statusTable(states), states); err != nil {
					return err
				}
				return judge(states)
			})
		},
	}
	p.addFlags(cmd)
	out.addFlag(cmd)
	return cmd
}

func statesOf(progress []applier.Progress) []instanceState {
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
		t.add(s.Instance, s.Region, s.FailureDomain, string(s.Listed), yes(s.Reachable), yes(s.Leaving),
			fmt.Sprint(s.ConfigVersion), fmt.Sprint(s.Keys), age.String(), yes(s.StoreReachable), yes(s.Watcher))
	}
	return t
}

func yes(on bool) string {
	if on {
		return "yes"
	}
	return "no"
}

// judge fails if an instance can't be reached or versions differ.
func judge(states []instanceState) error {
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
