// Command seamedge is an entry instance of primroseseam on the users' platform.
//
// It is a program of its own, apart from seamd, so that it starts in a few
// milliseconds: instances are stopped, killed and started often, and what a
// library prepares at the start is paid for each time.
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

// settingsVariable names the settings file if no flag does.
const settingsVariable = "PRIMROSESEAM_SETTINGS"

func main() {
	holdHangups()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	root := &cobra.Command{Use: "seamedge", Short: "seamedge is an entry instance of primroseseam on the users' platform"}
	root.AddCommand(runCommand(os.Stdout), launcher.CheckCommand(func(path string) error {
		_, err := edger.LoadSettings(path)
		return err
	}))
	code := launcher.Execute(ctx, root, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// holdHangups keeps SIGHUP from ending the process before and after an instance
// listens for it. One that comes before needs nothing: the settings are read
// after this.
func holdHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

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
