package commander

import (
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamctl/exerciser"
)

// errRuleViolated means that an exchange violated a rule.
var errRuleViolated = errors.New("an exchange violated a rule")

// exchangesFlags holds the flags of the exchanges command.
type exchangesFlags struct {
	binary   string
	seed     uint64
	seeds    uint64
	count    int
	scenario string
	shrink   bool
	log      string
}

func exchangesCommand() *cobra.Command {
	var f exchangesFlags
	cmd := &cobra.Command{
		Use:   "exchanges",
		Short: "Play exchanges that are composed from dimensions through an instance",
		Long: "Plays exchanges of a client and an endpoint through an instance: bodies and answers of many sizes\n" +
			"and framings, with pauses, and connections that end early. They are composed so that each pair of\n" +
			"values of two dimensions comes in one of them. Prints a line of JSON for each seed, with how many\n" +
			"pairs were played and to how many exchanges each rule applied. Exits with 1 if a rule is violated.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runExchanges(cmd, f) },
	}
	cmd.Flags().StringVar(&f.binary, "seamedge", "", "path of the seamedge binary (required)")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "first seed")
	cmd.Flags().Uint64Var(&f.seeds, "seeds", 1, "number of seeds to run, one after the other")
	cmd.Flags().IntVar(&f.count, "count", 600, "number of exchanges of each seed")
	cmd.Flags().StringVar(&f.scenario, "scenario", "", "play this exchange only, as a report prints it")
	cmd.Flags().BoolVar(&f.shrink, "shrink", false, "find a simpler form of the first violation of each rule")
	cmd.Flags().StringVar(&f.log, "log", "", "file for the log of the instance")
	return cmd
}

func runExchanges(cmd *cobra.Command, f exchangesFlags) error {
	if f.binary == "" || f.seeds == 0 || f.count < 1 {
		return coder.Errorf(coder.ArgumentInvalid, "soak exchanges", "--seamedge must be set, --seeds and --count at least 1")
	}
	output := io.Discard
	if f.log != "" {
		file, err := os.Create(f.log)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		output = file
	}
	opts := []exerciser.Option{exerciser.WithCount(f.count), exerciser.WithOutput(output)}
	if cmd.Flags().Changed("scenario") {
		s, err := exerciser.ParseScenario(f.scenario)
		if err != nil {
			return coder.Errorf(coder.ArgumentInvalid, "soak exchanges", "%v", err)
		}
		opts = append(opts, exerciser.WithScenario(s))
	}
	if f.shrink {
		opts = append(opts, exerciser.WithShrinking())
	}
	passed := true
	for n := range f.seeds {
		report, err := exerciser.Run(cmd.Context(), f.binary, append(opts, exerciser.WithSeed(f.seed+n))...)
		if err != nil {
			return err
		}
		passed = passed && report.Passed()
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(report); err != nil {
			return err
		}
	}
	if !passed {
		return errRuleViolated
	}
	return nil
}
