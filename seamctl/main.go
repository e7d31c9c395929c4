// Command seamctl is the command line client for operators of primroseseam.
//
// # Usage
//
//	seamctl demo --deployment nathibandh
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"primroseseam.org/seamctl/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
