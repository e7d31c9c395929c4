// Command seamd runs an entry instance of primroseseam: a daemon of the fleet that
// forwards callers' requests to upstreams.
//
// # Usage
//
//	seamd run --settings seamd.json
//	seamd settings check seamd.json
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"primroseseam.org/seamd/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// After the first signal, restore the default handling, so that a second signal
	// terminates the process immediately.
	context.AfterFunc(ctx, stop)
	code := commander.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
