package commander

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamd/daemon"
)

func explainCommand() *cobra.Command {
	var f fleet
	var out output
	cmd := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Show why a request went where it did",
		Long: "Takes the Seam-Request-Id of an answer or refusal and asks the instance that decided.\n" +
			"An instance keeps its newest decisions in memory only.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := out.check(); err != nil {
				return err
			}
			cut := strings.LastIndexByte(args[0], '-')
			if cut <= 0 {
				return coder.Errorf(coder.ArgumentInvalid, "REQUEST", "%q is not a Seam-Request-Id", args[0])
			}
			instance, err := f.find(cmd.Context(), args[0][:cut])
			if err != nil {
				return err
			}
			var list []daemon.Explanation
			if err := f.call(cmd.Context(), http.MethodGet, instance, requestPath(args[0]), &list); err != nil {
				return err
			}
			if len(list) == 0 {
				return coder.Errorf(coder.StoreNotFound, args[0], "the instance doesn't keep this decision any more")
			}
			return out.print(cmd.OutOrStdout(), explanationTable(list), list)
		},
	}
	f.addFlags(cmd)
	out.addFlag(cmd)
	return cmd
}

func explanationTable(list []daemon.Explanation) table {
	t := table{columns: []string{"AT", "TEAM", "SERVICE", "CANDIDATES", "CHOICE", "ATTEMPT", "REASON", "NOT RUN", "WAITED"}}
	for _, e := range list {
		choice := e.Choice
		if choice == "" {
			choice = "refused"
		}
		t.add(e.At.Format(time.RFC3339Nano), e.Team, e.Service, fmt.Sprint(e.Candidates), choice,
			fmt.Sprint(e.Attempt), fmt.Sprintf("%s (%d)", e.Reason, e.Code), e.NotRun, fmt.Sprintf("%.1f ms", e.WaitedMS))
	}
	return t
}
