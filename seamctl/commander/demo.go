package commander

import (
	"errors"
	"fmt"
	"io"
	"log"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamctl/demonstrator"
)

// errPromiseBroken says that a run violated a promise or didn't check it.
var errPromiseBroken = errors.New("a promise was violated or not checked")

// demoFlags are the flags of the demo as they were written.
type demoFlags struct {
	deployment string
	seed       uint64
	duration   time.Duration
	faults     string
	broken     string
	output     string
}

func demoCommand() *cobra.Command {
	var f demoFlags
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small deployment in this process and check its promises",
		Long: "Runs a store stand-in, upstream stand-ins and daemons in this process over loopback\n" +
			"sockets, lets faults happen, and checks every promise at both ends: at the callers\n" +
			"and at the upstreams. Exits 1 if a promise is violated or not checked.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDemo(cmd, f)
		},
	}
	cmd.Flags().StringVar(&f.deployment, "deployment", "nathibandh", "nathibandh or lonestar")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "seed of callers and faults")
	cmd.Flags().DurationVar(&f.duration, "duration", 20*time.Second, "how long callers send requests")
	cmd.Flags().StringVar(&f.faults, "fault", "all", "all, none, or a comma-separated list of faults")
	cmd.Flags().StringVar(&f.broken, "break", "", "mechanism to turn off, to show that the checker notices")
	cmd.Flags().StringVar(&f.output, "output", "table", "table or json")
	return cmd
}

func runDemo(cmd *cobra.Command, f demoFlags) error {
	opts, err := f.options(cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	// Libraries print the content of answers that arrive twice.
	log.SetOutput(io.Discard)
	report, err := demonstrator.Run(cmd.Context(), opts...)
	if err != nil {
		return err
	}
	if err := writeReport(cmd.OutOrStdout(), report, f.output); err != nil {
		return err
	}
	if !report.Passed() {
		return errPromiseBroken
	}
	return nil
}

func (f demoFlags) options(progress io.Writer) ([]demonstrator.Option, error) {
	if f.output != "table" && f.output != "json" {
		return nil, coder.Errorf(coder.ArgumentInvalid, "--output", "no output format %q; use table or json", f.output)
	}
	if f.duration <= 0 {
		return nil, coder.Errorf(coder.ArgumentInvalid, "--duration", "%v is not positive", f.duration)
	}
	faults, err := demonstrator.ParseFaults(f.faults)
	if err != nil {
		return nil, err
	}
	opts := []demonstrator.Option{
		demonstrator.WithDeployment(f.deployment),
		demonstrator.WithSeed(f.seed),
		demonstrator.WithDuration(f.duration),
		demonstrator.WithFaults(faults...),
		demonstrator.WithProgress(func(line string) { _, _ = fmt.Fprintln(progress, "demo:", line) }),
	}
	if f.broken == "" {
		return opts, nil
	}
	broken, err := demonstrator.ParseMechanism(f.broken)
	return append(opts, demonstrator.WithoutMechanism(broken)), err
}

func writeReport(w io.Writer, report demonstrator.Report, output string) error {
	if output == "json" {
		return report.WriteJSON(w)
	}
	return report.WriteTable(w)
}
