// Command standin runs a stand-in for the platform or for an upstream, so that seamd can be
// tried without them. It also registers seamd instances with the stand-in for the platform,
// which stores the configuration and the API keys and lists the instances.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:7000
//	standin register --platform http://127.0.0.1:7000 seamd.json
//	standin upstream --listen 127.0.0.1:9000 --slots 3 --work 20ms
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/standin/responder"
	"primroseseam.org/standin/storekeeper"
)

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "standin", Short: "Run stand-ins for external systems", SilenceUsage: true}
	root.AddCommand(platformCommand(), upstreamCommand(), registerCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's object API from memory",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, storekeeper.New())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "IP address and port")
	return cmd
}

func upstreamCommand() *cobra.Command {
	var (
		listen string
		slots  int
		work   time.Duration
		cold   float64
		// cold is how many times longer requests take right after the start, and warming
		// the time until they take as long as work.
		warming time.Duration
	)
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Respond to requests as an upstream does",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, responder.New(
				responder.WithSlots(slots), responder.WithWork(work), responder.WithColdStart(cold, warming)))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "IP address and port")
	cmd.Flags().IntVar(&slots, "slots", 3, "maximum number of requests that run at once")
	cmd.Flags().DurationVar(&work, "work", 20*time.Millisecond, "time that a request takes")
	cmd.Flags().Float64Var(&cold, "cold", 1, "how many times longer requests take right after the start")
	cmd.Flags().DurationVar(&warming, "warming", 0, "time until requests take as long as --work says")
	return cmd
}

// serve runs an HTTP server until ctx is done, then closes it. It returns nil after that,
// and an error if the server can't listen.
func serve(ctx context.Context, listen string, h http.Handler) error {
	server := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", listen, err)
	}
	return nil
}
