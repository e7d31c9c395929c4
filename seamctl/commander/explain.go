package commander

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamctl/narrator"
	"primroseseam.org/seamd/daemon"
)

func explainCommand() *cobra.Command {
	var f fleet
	var out output
	var logs []string
	cmd := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Show why a request went where it did",
		Long: "Takes the Seam-Request-Id of an answer or refusal and asks the instance that decided.\n" +
			"An instance keeps its newest decisions in memory only. With --log, REQUEST is the id that\n" +
			"the caller gave, and the logs of any number of instances are read instead.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := out.check(); err != nil {
				return err
			}
			if len(logs) > 0 {
				return explainLogs(cmd, out, args[0], logs)
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
	cmd.Flags().StringArrayVar(&logs, "log", nil, "log file to read, or - for standard input; may be given more than once")
	return cmd
}

// explainLogs tells a request's story from logs.
func explainLogs(cmd *cobra.Command, out output, request string, logs []string) error {
	n := narrator.New(request)
	for _, name := range logs {
		if err := readLog(cmd, n, name); err != nil {
			return err
		}
	}
	story := n.Story()
	if len(story) == 0 {
		return coder.Errorf(coder.StoreNotFound, request, "no log says anything of this request")
	}
	t := table{columns: []string{"AT", "INSTANCE", "WHAT", "WITH"}}
	for _, e := range story {
		t.add(e.At.Format(time.RFC3339Nano), e.Instance, e.Message, e.Fields)
	}
	return out.print(cmd.OutOrStdout(), t, story)
}

func readLog(cmd *cobra.Command, n *narrator.Narrator, name string) error {
	if name == "-" {
		return n.Read(cmd.InOrStdin())
	}
	file, err := os.Open(name)
	if err != nil {
		return coder.Errorf(coder.ArgumentInvalid, "--log", "can't be read: %v", err)
	}
	defer func() { _ = file.Close() }()
	return n.Read(file)
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
