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
	parent := &cobra.Command{Use: "upstream", Short: "Work with upstreams"}
	parent.AddCommand(upstreamDrainCommand())
	return parent
}

func upstreamDrainCommand() *cobra.Command {
	var f applyFlags
	var undo bool
	var expires time.Duration
	cmd := &cobra.Command{
		Use:   "drain ADDRESS",
		Short: "Send no new work to an endpoint, by an exception with a reason",
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
				proposal.Document.Exceptions = drained(current.Exceptions, args[0], f.reason, expires, undo)
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
	cmd.Flags().StringVar(&f.reason, "reason", "", "why the endpoint is drained")
	cmd.Flags().BoolVar(&undo, "undo", false, "end the drain")
	cmd.Flags().DurationVar(&expires, "expires", 0, "end the drain by itself after this time")
	_ = cmd.MarkFlagRequired("reason")
	return cmd
}

func hasEndpoint(doc configurer.Document, address string) bool {
	for _, s := range doc.Defaults.Services {
		for _, p := range s.Endpoints {
			if p.Address == address {
				return true
			}
		}
	}
	return false
}

// drained returns the exceptions with a drain of the endpoint, or without it.
func drained(list []configurer.Exception, address, reason string, expires time.Duration, undo bool) []configurer.Exception {
	list = slices.DeleteFunc(slices.Clone(list), func(e configurer.Exception) bool {
		return e.Scope.Endpoint == address && e.Set.Draining != nil && e.Set.Slots == nil
	})
	if undo {
		return list
	}
	on := true
	e := configurer.Exception{Reason: reason, Scope: configurer.Scope{Endpoint: address}, Set: configurer.ExceptionSet{Draining: &on}}
	if expires > 0 {
		at := time.Now().UTC().Add(expires)
		e.Expires = &at
	}
	return append(list, e)
}
