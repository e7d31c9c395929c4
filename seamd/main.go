// Command seamd is an entry instance of primroseseam.
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
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	code := commander.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
