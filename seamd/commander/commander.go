// Package commander implements the command line of seamd, the fleet daemon. Only the main
// package of seamd and the tests of this package use it.
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

// Execute runs the command that args name and returns the process's exit code.
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

// newLogger returns a logger that writes JSON lines. Its level is the one in the
// settings, or info if that is invalid.
func newLogger(settings loader.Settings, w io.Writer) *zap.Logger {
	level, err := zapcore.ParseLevel(settings.Log.Level)
	if err != nil {
		level = zapcore.InfoLevel
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level))
}

// maxLibraryLineBytes is the number of bytes of a library's log message that are logged.
// The remainder is dropped, because it may contain data from a response.
const maxLibraryLineBytes = 48

// libraryLogWriter is the output of the standard logger of package log. It passes each
// message, which a library has written, to the daemon's logger.
type libraryLogWriter struct{ log *zap.Logger }

// Write implements io.Writer.
func (l libraryLogWriter) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p[:min(len(p), maxLibraryLineBytes)]))
	l.log.Warn("daemon: message from a library", zap.String("line", line))
	return len(p), nil
}
