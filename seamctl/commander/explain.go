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
	var f instanceFlags
	var format outputFormat
	var logFiles []string
	cmd := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Show how a request was routed and why",
		Long: "Takes the Seam-Request-Id of an answer or a refusal and asks the instance that made the\n" +
			"routing decision. An instance keeps only its latest decisions, and only in memory. With\n" +
			"--log, REQUEST is the id that the caller gave, and instances' logs are read instead.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := format.check(); err != nil {
				return err
			}
			if len(logFiles) > 0 {
				return explainLogs(cmd, format, args[0], logFiles)
			}
			// A Seam-Request-Id is the id of the instance, a dash and a number.
			separator := strings.LastIndexByte(args[0], '-')
			if separator <= 0 {
				return coder.Errorf(coder.ArgumentInvalid, "REQUEST", "%q is not a Seam-Request-Id", args[0])
			}
			instance, err := f.findInstance(cmd.Context(), args[0][:separator])
			if err != nil {
				return err
			}
			var explanations []daemon.Explanation
			if err := f.call(cmd.Context(), http.MethodGet, instance, explainPath(args[0]), &explanations); err != nil {
				return err
			}
			if len(explanations) == 0 {
				return coder.Errorf(coder.StoreNotFound, args[0], "the instance has no decision for this request, or no longer")
			}
			return format.print(cmd.OutOrStdout(), explanationTable(explanations), explanations)
		},
	}
	f.addFlags(cmd)
	format.addFlag(cmd)
	cmd.AddCommand(explainRequestCommand(), explainFleetCommand())
	cmd.Flags().StringArrayVar(&logFiles, "log", nil, "log file to read, or - for standard input; can be repeated")
	return cmd
}

// explainLogs reads log files and prints the entries about a request, in order of time.
// The request ID is the one that the caller gave to the request.
func explainLogs(cmd *cobra.Command, format outputFormat, requestID string, logFiles []string) error {
	collector := narrator.New(requestID)
	for _, path := range logFiles {
		if err := readLog(cmd, collector, path); err != nil {
			return err
		}
	}
	timeline := collector.Timeline()
	if len(timeline) == 0 {
		return coder.Errorf(coder.StoreNotFound, requestID, "no log entry has this request id")
	}
	t := table{columns: []string{"AT", "INSTANCE", "WHAT", "WITH"}}
	for _, e := range timeline {
		t.add(e.At.Format(time.RFC3339Nano), e.Instance, e.Message, e.Fields)
	}
	return format.print(cmd.OutOrStdout(), t, timeline)
}

func readLog(cmd *cobra.Command, collector *narrator.Collector, path string) error {
	if path == "-" {
		return collector.Read(cmd.InOrStdin())
	}
	file, err := os.Open(path)
	if err != nil {
		return coder.Errorf(coder.ArgumentInvalid, "--log", "cannot open log: %v", err)
	}
	defer func() { _ = file.Close() }()
	return collector.Read(file)
}

func explanationTable(explanations []daemon.Explanation) table {
	t := table{columns: []string{"AT", "TEAM", "SERVICE", "CANDIDATES", "CHOICE", "ATTEMPT", "REASON", "NOT RUN", "WAITED"}}
	for _, e := range explanations {
		choice := e.Choice
		if choice == "" {
			choice = "refused"
		}
		t.add(e.At.Format(time.RFC3339Nano), e.Team, e.Service, fmt.Sprint(e.Candidates), choice,
			fmt.Sprint(e.Attempt), fmt.Sprintf("%s (%d)", e.Reason, e.Code), e.NotRun, fmt.Sprintf("%.1f ms", e.WaitedMS))
	}
	return t
}
