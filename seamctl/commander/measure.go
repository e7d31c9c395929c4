package commander

import (
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seamctl/measurer"
)

func measureCommand() *cobra.Command {
	parent := &cobra.Command{Use: "measure", Short: "Run a small fleet in this process and measure it"}
	parent.AddCommand(measureSpreadCommand(), measureWithdrawalCommand(), measureCostCommand(), measureCutOffCommand())
	return parent
}

func measureSpreadCommand() *cobra.Command {
	var plan measurer.SpreadPlan
	cmd := &cobra.Command{
		Use:   "spread",
		Short: "Measure how long configuration changes take to be in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := measurer.Spread(cmd.Context(), plan)
			if err != nil {
				return err
			}
			return writeIndented(cmd.OutOrStdout(), report)
		},
	}
	cmd.Flags().IntVar(&plan.Instances, "instances", 10, "number of instances")
	cmd.Flags().IntVar(&plan.Changes, "changes", 200, "number of changes")
	cmd.Flags().BoolVar(&plan.SilenceWatchers, "silence-watchers", false, "cut off one watcher in each region")
	cmd.Flags().IntVar(&plan.History, "history", 0, "number of changes that the store keeps for watches; 0 means many")
	return cmd
}

func measureWithdrawalCommand() *cobra.Command {
	plan := measurer.WithdrawalPlan{Watch: 6 * time.Second}
	cmd := &cobra.Command{
		Use:   "withdrawal",
		Short: "Measure how long a withdrawn key still works on open connections",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := measurer.Withdrawal(cmd.Context(), plan)
			if err != nil {
				return err
			}
			return writeIndented(cmd.OutOrStdout(), report)
		},
	}
	cmd.Flags().IntVar(&plan.Instances, "instances", 10, "number of instances")
	cmd.Flags().IntVar(&plan.Connections, "connections", 50, "number of connections")
	cmd.Flags().BoolVar(&plan.StoreDown, "store-down", false, "make the store fail right after it accepts the withdrawal")
	cmd.Flags().DurationVar(&plan.Work, "work", 5*time.Millisecond, "how long the upstreams take for a request")
	return cmd
}

func measureCostCommand() *cobra.Command {
	var plan measurer.CostPlan
	cmd := &cobra.Command{
		Use:   "cost",
		Short: "Measure the cost of distributing changes, at rest and per change",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := measurer.Cost(cmd.Context(), plan)
			if err != nil {
				return err
			}
			return writeIndented(cmd.OutOrStdout(), report)
		},
	}
	cmd.Flags().IntVar(&plan.Instances, "instances", 10, "number of instances")
	cmd.Flags().IntVar(&plan.Changes, "changes", 50, "number of changes")
	cmd.Flags().DurationVar(&plan.Idle, "idle", 15*time.Second, "how long to measure the fleet at rest")
	return cmd
}

func measureCutOffCommand() *cobra.Command {
	var freshness time.Duration
	cmd := &cobra.Command{
		Use:   "cutoff",
		Short: "Measure how long an instance cut off from the store and its peers accepts keys",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := measurer.CutOff(cmd.Context(), freshness)
			if err != nil {
				return err
			}
			return writeIndented(cmd.OutOrStdout(), report)
		},
	}
	cmd.Flags().DurationVar(&freshness, "key-freshness", 5*time.Second, "keyFreshness setting of the configuration")
	return cmd
}
