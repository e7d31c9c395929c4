// Package commander is the command line of the daemon.
//
// # Usage
//
//	os.Exit(commander.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
package commander

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/edger"
	"primroseseam.org/seamd/loader"
)

// Exit codes of the daemon; docs/OPERATIONS.md lists them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Execute runs the command line and returns the process's exit code.
func Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "seamd",
		Short:         "seamd is an entry instance of primroseseam",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(runCommand(stderr), edgeCommand(stdout), settingsCommand())
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, "seamd:", err)
	if coder.Of(err) == coder.SettingsInvalid {
		return exitSettings
	}
	return exitFailed
}

func runCommand(stderr io.Writer) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Serve until SIGTERM, then shut down gracefully",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := loader.Load(path)
			if err != nil {
				return err
			}
			logger := newLogger(settings, stderr)
			log.SetFlags(0)
			log.SetOutput(libraryLog{log: logger})
			d, err := daemon.New(settings, daemon.WithLogger(logger))
			if err != nil {
				return err
			}
			return d.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// settingsVariable names the settings file of an edge instance if no flag does.
const settingsVariable = "PRIMROSESEAM_SETTINGS"

func edgeCommand(stdout io.Writer) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Serve on the users' platform until SIGTERM, then shut down gracefully",
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

func settingsCommand() *cobra.Command {
	parent := &cobra.Command{Use: "settings", Short: "Work with settings files"}
	var edge bool
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkSettings(args[0], edge); err != nil {
				return err
			}
			cmd.Println("settings are valid")
			return nil
		},
	}
	check.Flags().BoolVar(&edge, "edge", false, "the file is that of an edge instance")
	parent.AddCommand(check)
	return parent
}

// newLogger logs JSON lines at the level of the settings.
func newLogger(settings loader.Settings, w io.Writer) *zap.Logger {
	level, err := zapcore.ParseLevel(settings.Log.Level)
	if err != nil {
		level = zapcore.InfoLevel
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level))
}

// maxLibraryLine is what is kept of a library's line in bytes. The rest may
// hold the content of an answer.
const maxLibraryLine = 48

// libraryLog passes on what libraries write to the standard logger.
type libraryLog struct{ log *zap.Logger }

// Write implements io.Writer.
func (l libraryLog) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p[:min(len(p), maxLibraryLine)]))
	l.log.Warn("daemon: library says", zap.String("line", line))
	return len(p), nil
}

// checkSettings checks the settings of an instance, or of an edge instance.
func checkSettings(path string, edge bool) error {
	if edge {
		_, err := edger.LoadSettings(path)
		return err
	}
	_, err := loader.Load(path)
	return err
}
