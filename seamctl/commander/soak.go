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

// errSoakBroken says that a soak saw a violation.
var errSoakBroken = errors.New("something that must always hold was violated")

// soakFlags are the flags of a soak.
type soakFlags struct {
	binary    string
	seed      uint64
	seeds     uint64
	duration  time.Duration
	instances int
	logs      string
}

func soakCommand() *cobra.Command {
	var f soakFlags
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run instances as processes, disturb them and check what must always hold",
		Long: "Starts processes of the daemon on loopback addresses with stand-ins of the store and of\n" +
			"endpoints, lets series of faults overlap, and checks from callers and endpoints what must\n" +
			"always hold. Prints a line of JSON for each seed. Exits 1 if something was violated.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runSoak(cmd, f) },
	}
	cmd.Flags().StringVar(&f.binary, "seamedge", "", "path of the program seamedge (required)")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "first seed")
	cmd.Flags().Uint64Var(&f.seeds, "seeds", 1, "number of seeds, one after the other")
	cmd.Flags().DurationVar(&f.duration, "duration", 15*time.Second, "how long faults happen for each seed")
	cmd.Flags().IntVar(&f.instances, "instances", 4, "number of processes")
	cmd.Flags().StringVar(&f.logs, "logs", "", "directory for the logs of seeds with a violation")
	return cmd
}

func runSoak(cmd *cobra.Command, f soakFlags) error {
	if f.binary == "" || f.seeds == 0 || f.duration <= 0 || f.instances < 2 {
		return coder.Errorf(coder.ArgumentInvalid, "soak", "needs --seamedge, and at least one seed, two instances and some time")
	}
	broken := false
	for n := range f.seeds {
		report, err := soakSeed(cmd, f, f.seed+n)
		if err != nil {
			return err
		}
		broken = broken || !report.Passed()
	}
	if broken {
		return errSoakBroken
	}
	return nil
}

// soakSeed runs one seed, and keeps its log if something was violated.
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
		soaker.WithInstances(f.instances), soaker.WithOutput(output))
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
