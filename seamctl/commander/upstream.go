package commander

import (
	"context"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
)

func upstreamCommand() *cobra.Command {
	parent := &cobra.Command{Use: "upstream", Short: "Manage upstreams"}
	parent.AddCommand(upstreamDrainCommand())
	return parent
}

func upstreamDrainCommand() *cobra.Command {
	var f applyFlags
	var undo bool
	var expires time.Duration
	cmd := &cobra.Command{
		Use:   "drain ADDRESS",
		Short: "Stop new requests to an endpoint by an exception in the configuration",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var proposal applier.Proposal
			err := f.withStore(cmd.Context(), func(ctx context.Context, store storer.Store) error {
				current, err := applier.New(store).Current(ctx)
				if err != nil {
					return err
				}
				if !hasEndpoint(current.Document, args[0]) {
					return coder.Errorf(coder.StoreNotFound, args[0], "no such endpoint")
				}
				proposal = f.proposal(current.Stored)
				proposal.Document.Exceptions = withDrain(current.Exceptions, args[0], f.reason, expires, undo)
				return nil
			})
			if err != nil {
				return err
			}
			return f.apply(cmd.Context(), cmd.OutOrStdout(), proposal)
		},
	}
	f.base = -1
	f.addFlags(cmd)
	f.addWaitFlags(cmd)
	cmd.Flags().StringVar(&f.reason, "reason", "", "reason for the exception")
	cmd.Flags().BoolVar(&undo, "undo", false, "end the drain")
	cmd.Flags().DurationVar(&expires, "expires", 0, "end the drain after this time; 0 means no end")
	_ = cmd.MarkFlagRequired("reason")
	return cmd
}

func hasEndpoint(doc configurer.Document, address string) bool {
	for _, s := range doc.Defaults.Services {
		for _, e := range s.Endpoints {
			if e.Address == address {
				return true
			}
		}
	}
	return false
}

// withDrain returns the exceptions with one that drains the endpoint. It replaces earlier
// exceptions that set draining for this endpoint. If undo is set, it removes them and adds
// none. An exception that also sets slots stays as it is.
func withDrain(exceptions []configurer.Exception, address, reason string, expires time.Duration, undo bool) []configurer.Exception {
	exceptions = slices.DeleteFunc(slices.Clone(exceptions), func(e configurer.Exception) bool {
		return e.Scope.Endpoint == address && e.Set.Draining != nil && e.Set.Slots == nil
	})
	if undo {
		return exceptions
	}
	draining := true
	e := configurer.Exception{Reason: reason, Scope: configurer.Scope{Endpoint: address}, Set: configurer.ExceptionSet{Draining: &draining}}
	if expires > 0 {
		expiry := time.Now().UTC().Add(expires)
		e.Expires = &expiry
	}
	return append(exceptions, e)
}
