// Package commander is the operators' command line.
//
// # Usage
//
//	os.Exit(commander.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seamctl/demonstrator"
)

// errPromiseBroken says that a run violated a promise or didn't check it.
var errPromiseBroken = errors.New("a promise was violated or not checked")

// Execute runs the command line and returns the process's exit code.
func Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "seamctl",
		Short:         "seamctl operates a primroseseam fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(demoCommand())
	root.AddCommand(configCommand(), keyCommand(), upstreamCommand())
	root.AddCommand(traceCommand(), replayCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(stderr, "seamctl:", err)
		return exitCode(err)
	}
	return exitOK
}

func demoCommand() *cobra.Command {
	var (
		deployment string
		seed       uint64
		duration   time.Duration
		output     string
	)
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small deployment in this process and check its promises",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := demonstrator.Run(cmd.Context(),
				demonstrator.WithDeployment(deployment),
				demonstrator.WithSeed(seed),
				demonstrator.WithDuration(duration))
			if err != nil {
				return err
			}
			if err := writeReport(cmd.OutOrStdout(), report, output); err != nil {
				return err
			}
			if !report.Holds() {
				return errPromiseBroken
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&deployment, "deployment", "nathibandh", "nathibandh or lonestar")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of callers and faults")
	cmd.Flags().DurationVar(&duration, "duration", 20*time.Second, "how long callers send requests")
	cmd.Flags().StringVar(&output, "output", "table", "table or json")
	return cmd
}

func writeReport(w io.Writer, report demonstrator.Report, output string) error {
	switch output {
	case "table":
		return report.WriteTable(w)
	case "json":
		return report.WriteJSON(w)
	}
	return fmt.Errorf("no output format %q; use table or json", output)
}
