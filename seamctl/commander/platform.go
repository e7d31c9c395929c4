package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/storer"
)

const (
	platformVariable = "SEAM_PLATFORM"
	// defaultStoreLimit bounds the tries at the store.
	defaultStoreLimit = 10 * time.Second
	// defaultInForceLimit bounds the wait until a change is in force.
	defaultInForceLimit = 30 * time.Second
)

// platform holds the flags of commands that talk to the platform.
type platform struct {
	address      string
	storeLimit   time.Duration
	inForceLimit time.Duration
	noWait       bool
}

func (p *platform) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&p.address, "platform", os.Getenv(platformVariable),
		"address of the platform's object service (or "+platformVariable+")")
	flags.DurationVar(&p.storeLimit, "store-limit", defaultStoreLimit, "how long to try at the store")
}

func (p *platform) addWaitFlags(cmd *cobra.Command) {
	cmd.Flags().DurationVar(&p.inForceLimit, "in-force-limit", defaultInForceLimit, "how long to wait for every instance")
	cmd.Flags().BoolVar(&p.noWait, "no-wait", false, "return once the change is accepted")
}

func (p *platform) store() (storer.Store, error) {
	if p.address == "" {
		return nil, fmt.Errorf("set --platform or %s", platformVariable)
	}
	return storer.NewHTTP(p.address), nil
}

// withStore runs a command with a store and its time limit.
func (p *platform) withStore(ctx context.Context, run func(context.Context, storer.Store) error) error {
	store, err := p.store()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.storeLimit)
	defer cancel()
	return run(ctx, store)
}

// await waits for a change to be in force and prints a line for each instance.
func (p *platform) await(ctx context.Context, w io.Writer, wait func(context.Context, *applier.Awaiter, func(applier.Progress)) error) error {
	if p.noWait {
		return nil
	}
	store, err := p.store()
	if err != nil {
		return err
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.inForceLimit)
	defer cancel()
	err = wait(ctx, applier.NewAwaiter(store), func(p applier.Progress) {
		printf(w, "in force: %s (%s) after %v\n", p.Instance.ID, p.Instance.Region, time.Since(started).Round(time.Millisecond))
	})
	if coder.Of(err) == coder.ConfigNotInForce {
		printf(w, "accepted, but not in force everywhere\n")
	}
	if err == nil {
		printf(w, "in force everywhere after %v\n", time.Since(started).Round(time.Millisecond))
	}
	return err
}

// printf writes to the command's output.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
