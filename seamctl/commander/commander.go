// Package commander implements the command line of seamctl, the client for operators.
//
// # Usage
//
//	os.Exit(commander.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Execute runs the command given by args and returns the exit code of the process.
// An error is printed to stderr.
func Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "seamctl",
		Short:         "Operate a primroseseam fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(demoCommand(), soakCommand())
	root.AddCommand(configCommand(), keyCommand(), upstreamCommand(), clientsCommand(), measureCommand())
	root.AddCommand(traceCommand(), replayCommand())
	root.AddCommand(statusCommand(), instanceCommand(), explainCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(stderr, "seamctl:", err)
		return exitCode(err)
	}
	return exitOK
}
