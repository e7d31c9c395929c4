// Package commander implements the command line of seamctl, the client for operators.
//
// Most commands operate a fleet of seamd instances through the platform. The platform
// stores the configuration, the API keys and the client map (which maps client address
// blocks to regions), and it lists the instances. A change that the store has accepted is
// in force on an instance once the instance uses it. The command that made the change
// waits until then, and reports progress for each instance.
//
// Other commands ask instances directly, over HTTP: the look-up listener answers status
// requests, and the peer listener takes requests that are signed with the secret shared
// by instances and operators. The commands demo, soak and measure start instances of their
// own and need no fleet; trace and replay work on files.
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
