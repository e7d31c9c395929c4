package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamctl/soaker"
)

// errInvariantViolated means that a soak test found a violation of an invariant.
var errInvariantViolated = errors.New("an invariant was violated")

// soakFlags holds the flags of the soak command.
type soakFlags struct {
	binary    string
	seed      uint64
	seeds     uint64
	duration  time.Duration
	instances int
	crowd     int
	memory    int
	logs      string
}

func soakCommand() *cobra.Command {
	var f soakFlags
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Soak-test instances as processes: inject faults and check invariants",
		Long: "Runs instances as processes on loopback addresses, with stand-ins of the store and of\n" +
			"endpoints. It injects overlapping faults and checks invariants from the callers and the\n" +
			"endpoints. Prints a line of JSON for each seed. Exits with 1 if an invariant is violated.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runSoak(cmd, f) },
	}
	cmd.Flags().StringVar(&f.binary, "seamedge", "", "path of the seamedge binary (required)")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "first seed")
	cmd.Flags().Uint64Var(&f.seeds, "seeds", 1, "number of seeds to run, one after the other")
	cmd.Flags().DurationVar(&f.duration, "duration", 15*time.Second, "how long to inject faults for each seed")
	cmd.Flags().IntVar(&f.instances, "instances", 4, "number of processes")
	cmd.Flags().IntVar(&f.crowd, "crowd", 300, "number of clients in a crowd that misbehaves")
	cmd.Flags().IntVar(&f.memory, "memory", 128, "memory of each process, in megabytes")
	cmd.Flags().StringVar(&f.logs, "logs", "", "directory for the logs of seeds with a violation")
	cmd.AddCommand(exchangesCommand())
	return cmd
}

func runSoak(cmd *cobra.Command, f soakFlags) error {
	if f.binary == "" || f.seeds == 0 || f.duration <= 0 || f.instances < 2 || f.crowd < 1 || f.memory < 1 {
		return coder.Errorf(coder.ArgumentInvalid, "soak", "--seamedge must be set, --seeds, --crowd and --memory at least 1, --instances at least 2 and --duration positive")
	}
	invariantViolated := false
	for n := range f.seeds {
		report, err := soakSeed(cmd, f, f.seed+n)
		if err != nil {
			return err
		}
		invariantViolated = invariantViolated || !report.Passed()
	}
	if invariantViolated {
		return errInvariantViolated
	}
	return nil
}

// soakSeed runs the soak test with one seed, prints its report and returns it. With --logs
// it writes a log of the run. It removes the log again if the run was completed and no
// invariant was violated.
func soakSeed(cmd *cobra.Command, f soakFlags, seed uint64) (soaker.Report, error) {
	output, path := io.Discard, ""
	if f.logs != "" {
		path = filepath.Join(f.logs, fmt.Sprintf("soak-%d.log", seed))
		file, err := os.Create(path)
		if err != nil {
			return soaker.Report{}, err
		}
		defer func() { _ = file.Close() }()
		output = file
	}
	report, err := soaker.Run(cmd.Context(), f.binary, soaker.WithSeed(seed), soaker.WithDuration(f.duration),
		soaker.WithInstances(f.instances), soaker.WithCrowd(f.crowd), soaker.WithMemory(f.memory), soaker.WithOutput(output))
	if err != nil {
		return report, err
	}
	if report.Passed() && path != "" {
		if err := os.Remove(path); err != nil {
			return report, err
		}
	}
	return report, json.NewEncoder(cmd.OutOrStdout()).Encode(report)
}
