package commander

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/generator"
)

func traceCommand() *cobra.Command {
	parent := &cobra.Command{Use: "trace", Short: "Make traces and list their scenarios"}
	parent.AddCommand(traceMakeCommand(), traceListCommand())
	return parent
}

func traceListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the scenarios that `trace make` accepts",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), strings.Join(generator.Scenarios(), "\n"))
			return err
		},
	}
}

func traceMakeCommand() *cobra.Command {
	var (
		deployment string
		seed       uint64
		folder     string
	)
	cmd := &cobra.Command{
		Use:   "make SCENARIO...",
		Short: "Make a trace file for each scenario, or for every one with \"all\"",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, names []string) error {
			if len(names) == 1 && names[0] == "all" {
				names = generator.Scenarios()
			}
			for _, name := range names {
				path := filepath.Join(folder, deployment+"-"+name+".trace.jsonl")
				if err := makeTraceFile(path, deployment, name, seed); err != nil {
					return err
				}
				cmd.PrintErrln("made", path)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&deployment, "deployment", "nathibandh", "deployment to imitate: nathibandh or lonestar")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed of the trace")
	cmd.Flags().StringVar(&folder, "folder", ".", "directory for the trace files")
	return cmd
}

func makeTraceFile(path, deployment, scenario string, seed uint64) error {
	trace, err := generator.Make(deployment, scenario, seed)
	if err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create trace: %w", err)
	}
	if err := trace.Write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
