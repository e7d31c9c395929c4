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

// replayFlags are the flags of the replay command.
type replayFlags struct {
	output  string
	broken  string
	report  string
	compare string
}

// replayCommand replays traces and checks their stated outcomes.
func replayCommand() *cobra.Command {
	var flags replayFlags
	cmd := &cobra.Command{
		Use:   "replay FILE...",
		Short: "Replay traces through the decision core and check their outcomes",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			return runReplay(cmd.OutOrStdout(), paths, flags)
		},
	}
	cmd.Flags().StringVar(&flags.output, "output", "table", "table or json")
	cmd.Flags().StringVar(&flags.broken, "break", "", "turn one mechanism off")
	cmd.Flags().StringVar(&flags.report, "report", "", "write a page with plots to this file")
	cmd.Flags().StringVar(&flags.compare, "compare", "", "earlier JSON output to print beside this one")
	return cmd
}

func runReplay(w io.Writer, paths []string, flags replayFlags) error {
	results, err := replayAll(paths, flags.broken)
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
			return coder.Errorf(coder.OutcomeMissed, r.Trace, "a stated outcome does not hold")
		}
	}
	return nil
}

func replayAll(paths []string, broken string) ([]replayer.Result, error) {
	var opts []replayer.Option
	if broken != "" {
		m, err := replayer.ParseMechanism(broken)
		if err != nil {
			return nil, err
		}
		opts = append(opts, replayer.WithMechanismDisabled(m))
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

// readResults reads the JSON output of an earlier replay.
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
	return fmt.Errorf("no output format %q; use table or json", output)
}

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
