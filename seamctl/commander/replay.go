package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/replayer"
	"primroseseam.org/seam/tracer"
	"primroseseam.org/seamctl/reporter"
)

// replayFlags holds the flags of the replay command.
type replayFlags struct {
	output   string
	disabled string
	report   string
	compare  string
}

func replayCommand() *cobra.Command {
	var flags replayFlags
	cmd := &cobra.Command{
		Use:   "replay FILE...",
		Short: "Replay traces through the decision logic and check their outcomes",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			return runReplay(cmd.OutOrStdout(), paths, flags)
		},
	}
	cmd.Flags().StringVar(&flags.output, "output", "table", "output format: table or json")
	cmd.Flags().StringVar(&flags.disabled, "break", "", "mechanism to turn off")
	cmd.Flags().StringVar(&flags.report, "report", "", "write an HTML page with plots to this file")
	cmd.Flags().StringVar(&flags.compare, "compare", "", "JSON output of an earlier replay to compare with")
	return cmd
}

func runReplay(w io.Writer, paths []string, flags replayFlags) error {
	results, err := replayAll(paths, flags.disabled)
	if err != nil {
		return err
	}
	earlier, err := readResults(flags.compare)
	if err != nil {
		return err
	}
	if err := writeResults(w, results, earlier, flags.output); err != nil {
		return err
	}
	if err := writePage(flags.report, results); err != nil {
		return err
	}
	for _, r := range results {
		if !r.Holds() {
			return coder.Errorf(coder.OutcomeMissed, r.Trace, "an expected outcome was not met")
		}
	}
	return nil
}

func replayAll(paths []string, disabled string) ([]replayer.Result, error) {
	var opts []replayer.Option
	if disabled != "" {
		mechanism, err := replayer.ParseMechanism(disabled)
		if err != nil {
			return nil, err
		}
		opts = append(opts, replayer.WithMechanismDisabled(mechanism))
	}
	var results []replayer.Result
	for _, path := range paths {
		trace, err := readTrace(path)
		if err != nil {
			return nil, err
		}
		results = append(results, replayer.Replay(trace, opts...))
	}
	return results, nil
}

func readTrace(path string) (*tracer.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, coder.Errorf(coder.TraceInvalid, path, "open: %w", err)
	}
	defer func() { _ = file.Close() }()
	trace, err := tracer.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return trace, nil
}

// readResults reads the JSON output of an earlier replay from a file. It returns nil if
// the path is empty.
func readResults(path string) ([]replayer.Result, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read earlier results: %w", err)
	}
	var results []replayer.Result
	if err := json.Unmarshal(data, &results); err != nil {
		return nil, fmt.Errorf("decode earlier results: %w", err)
	}
	return results, nil
}

func writeResults(w io.Writer, results, earlier []replayer.Result, output string) error {
	switch output {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(results)
	case "table":
		return reporter.WriteTable(tabwriter.NewWriter(w, 0, 4, 2, ' ', 0), results, earlier)
	}
	return fmt.Errorf("unknown output format %q; use table or json", output)
}

// writePage writes the HTML report to a file. It does nothing if the path is empty.
func writePage(path string, results []replayer.Result) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	if err := reporter.WritePage(file, results); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
