package commander

import (
	"errors"
	"fmt"
	"io"
	"log"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamctl/demonstrator"
)

// errPromiseBroken means that a promise was violated or never checked. A promise is a
// guarantee of the system that the demo checks.
var errPromiseBroken = errors.New("a promise was violated or not checked")

// demoFlags holds the flags of the demo command.
type demoFlags struct {
	deployment string
	seed       uint64
	duration   time.Duration
	faults     string
	disabled   string
	output     string
}

func demoCommand() *cobra.Command {
	var f demoFlags
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small deployment in this process and check its promises",
		Long: "Runs daemons with stand-ins of the store and the upstreams in this process, connected by\n" +
			"loopback sockets. It injects faults and checks every promise from both the callers and\n" +
			"the upstreams. Exits with 1 if a promise is violated or not checked.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDemo(cmd, f)
		},
	}
	cmd.Flags().StringVar(&f.deployment, "deployment", "nathibandh", "deployment to imitate: nathibandh or lonestar")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "random seed of the callers and the faults")
	cmd.Flags().DurationVar(&f.duration, "duration", 20*time.Second, "how long callers send requests")
	cmd.Flags().StringVar(&f.faults, "fault", "all", "faults to inject: all, none or a comma-separated list")
	cmd.Flags().StringVar(&f.disabled, "break", "", "mechanism to turn off, to show that the checker detects it")
	cmd.Flags().StringVar(&f.output, "output", "table", "output format: table or json")
	return cmd
}

func runDemo(cmd *cobra.Command, f demoFlags) error {
	opts, err := f.options(cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	// When a fault duplicates a response, net/http prints the unexpected bytes to the
	// standard logger. This would mix with the progress lines, so it is discarded.
	log.SetOutput(io.Discard)
	report, err := demonstrator.Run(cmd.Context(), opts...)
	if err != nil {
		return err
	}
	if err := writeReport(cmd.OutOrStdout(), report, f.output); err != nil {
		return err
	}
	if failures := report.Failures(); len(failures) > 0 {
		return fmt.Errorf("%w: %s", errPromiseBroken, strings.Join(failures, "; "))
	}
	return nil
}

func (f demoFlags) options(progress io.Writer) ([]demonstrator.Option, error) {
	if f.output != "table" && f.output != "json" {
		return nil, coder.Errorf(coder.ArgumentInvalid, "--output", "unknown output format %q; use table or json", f.output)
	}
	if f.duration <= 0 {
		return nil, coder.Errorf(coder.ArgumentInvalid, "--duration", "%v is not a positive duration", f.duration)
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
	if f.disabled == "" {
		return opts, nil
	}
	disabled, err := demonstrator.ParseMechanism(f.disabled)
	return append(opts, demonstrator.WithoutMechanism(disabled)), err
}

func writeReport(w io.Writer, report demonstrator.Report, output string) error {
	if output == "json" {
		return report.WriteJSON(w)
	}
	return report.WriteTable(w)
}
