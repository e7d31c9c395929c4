// Package commander implements the command line of seamd.
//
// # Usage
//
//	os.Exit(commander.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
package commander

import (
	"context"
	"io"
	"log"
	"strings"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primroseseam.org/seam/launcher"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/loader"
)

// Execute runs the command line and returns the process's exit code.
func Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{Use: "seamd", Short: "seamd is an entry instance of primroseseam"}
	root.AddCommand(runCommand(stderr), settingsCommand())
	return launcher.Execute(ctx, root, args, stdout, stderr)
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
			log.SetOutput(libraryLogWriter{log: logger})
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

func settingsCommand() *cobra.Command {
	parent := &cobra.Command{Use: "settings", Short: "Work with settings files"}
	parent.AddCommand(launcher.CheckCommand(func(path string) error {
		_, err := loader.Load(path)
		return err
	}))
	return parent
}

// newLogger returns a logger that writes JSON lines at the level of the settings.
func newLogger(settings loader.Settings, w io.Writer) *zap.Logger {
	level, err := zapcore.ParseLevel(settings.Log.Level)
	if err != nil {
		level = zapcore.InfoLevel
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level))
}

// maxLibraryLineBytes limits how much of a library's log message is logged. The rest may
// contain data from a response.
const maxLibraryLineBytes = 48

// libraryLogWriter logs what libraries write to the standard logger of package log.
type libraryLogWriter struct{ log *zap.Logger }

// Write implements io.Writer.
func (l libraryLogWriter) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p[:min(len(p), maxLibraryLineBytes)]))
	l.log.Warn("daemon: message from a library", zap.String("line", line))
	return len(p), nil
}
