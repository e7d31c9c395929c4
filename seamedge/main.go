// Command seamedge is the edge daemon of primroseseam: a load balancer process that runs
// on the users' platform.
//
// Edge instances are stopped, killed and started often, and at each start all linked
// libraries are initialized. To start in a few milliseconds, seamedge is therefore a
// separate program from the fleet daemon, seamd.
//
// # Usage
//
//	seamedge run --settings settings.json
//	seamedge check settings.json
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/launcher"
	"primroseseam.org/seamedge/edger"
)

// settingsVariable is the environment variable whose value is the default of the
// --settings flag.
const settingsVariable = "PRIMROSESEAM_SETTINGS"

func main() {
	catchHangups()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// The first signal restores the default handling, so that a second signal ends the
	// process at once.
	context.AfterFunc(ctx, stop)
	root := &cobra.Command{Use: "seamedge", Short: "Run an edge instance of primroseseam on the users' platform"}
	root.AddCommand(runCommand(os.Stdout), launcher.CheckCommand(func(path string) error {
		_, err := edger.LoadSettings(path)
		return err
	}))
	code := launcher.Execute(ctx, root, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// catchHangups keeps SIGHUP from ending the process before the instance listens for the
// signal. Such an early SIGHUP is dropped: if it arrives before the settings are read, no
// reload is needed.
func catchHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

func runCommand(stdout io.Writer) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Serve until SIGTERM, then shut down gracefully",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := edger.LoadSettings(path)
			if err != nil {
				return err
			}
			return edger.New(settings, stdout, edger.WithSettingsFile(path)).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", os.Getenv(settingsVariable), "settings file")
	return cmd
}
