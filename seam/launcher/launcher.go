// Package launcher runs the command line of a daemon and returns the exit code of the
// process. The fleet daemon seamd and the edge daemon seamedge use it.
//
// # Usage
//
//	os.Exit(launcher.Execute(ctx, root, os.Args[1:], os.Stdout, os.Stderr))
package launcher

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/coder"
)

// The exit codes of a daemon. They are documented in docs/OPERATIONS.md.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Execute runs the command root with args and returns the exit code of the process. If the
// command fails, Execute prints the error to stderr.
func Execute(ctx context.Context, root *cobra.Command, args []string, stdout, stderr io.Writer) int {
	root.SilenceUsage = true
	root.SilenceErrors = true
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", root.Name(), err)
	if coder.CodeOf(err) == coder.SettingsInvalid {
		return exitSettings
	}
	return exitFailed
}

// CheckCommand returns the command "check", which validates a settings file with load and
// doesn't start the daemon.
func CheckCommand(load func(path string) error) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := load(args[0]); err != nil {
				return err
			}
			cmd.Println("settings are valid")
			return nil
		},
	}
}
