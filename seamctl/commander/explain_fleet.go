package commander

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/conductor"
)

func explainFleetCommand() *cobra.Command {
	var from string
	var format outputFormat
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Show which instances one knows, and why teams get which part of their rates",
		Long: "Asks an instance of seamedge, at its metrics address, which instances it knows, which of them are\n" +
			"live, missing and absent, and on what basis it divides the rates of teams.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := format.check(); err != nil {
				return err
			}
			if err := checkFrom(from); err != nil {
				return err
			}
			var x conductor.FleetReport
			if err := askEdge(cmd.Context(), from, "/v1/fleet", nil, &x); err != nil {
				return err
			}
			return format.print(cmd.OutOrStdout(), fleetTable(x), x)
		},
	}
	cmd.Flags().StringVar(&from, "from", "", "metrics address of the instance, HOST:PORT (required)")
	format.addFlag(cmd)
	return cmd
}

// fleetTable shows what an instance knows of the fleet.
func fleetTable(x conductor.FleetReport) table {
	t := table{columns: []string{"WHAT", "VALUE", "WHICH"}}
	t.add("known", fmt.Sprint(x.Known), "as seen by "+x.Instance)
	t.add("live", fmt.Sprint(len(x.Live)), strings.Join(x.Live, ", "))
	t.add("missing", fmt.Sprint(len(x.Missing)), strings.Join(x.Missing, ", "))
	t.add("absent", fmt.Sprint(len(x.Absent)), strings.Join(x.Absent, ", "))
	t.add("rate part", fmt.Sprintf("%.3f", x.RatePart), x.RateBasis)
	t.add("store", (time.Duration(x.StoreAgeMs) * time.Millisecond).String(), "since its last answer")
	return t
}
