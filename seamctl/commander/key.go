package commander

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/storer"
)

func keyCommand() *cobra.Command {
	parent := &cobra.Command{Use: "key", Short: "Issue, withdraw and list the API keys of callers"}
	parent.AddCommand(keyIssueCommand(), keyWithdrawCommand(), keyListCommand())
	return parent
}

func keyIssueCommand() *cobra.Command {
	var p platformFlags
	var team, replaces string
	var overlap time.Duration
	cmd := &cobra.Command{
		Use:   "issue",
		Short: "Issue a key and print its secret once",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			secret, record, err := authenticator.Issue(team, time.Now().UTC())
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			return p.change(cmd.Context(), w, func(ctx context.Context, store storer.Store) (storer.Object, error) {
				a := applier.New(store)
				issued, err := a.IssueKey(ctx, record)
				if err != nil {
					return issued, err
				}
				printf(w, "digest: %s\nsecret: %s\n", record.Digest, secret)
				return issued, expireReplacedKey(ctx, a, replaces, overlap)
			})
		},
	}
	p.addFlags(cmd)
	p.addWaitFlags(cmd)
	cmd.Flags().StringVar(&team, "team", "", "team that owns the key")
	cmd.Flags().StringVar(&replaces, "replaces", "", "digest of the key that this one replaces")
	cmd.Flags().DurationVar(&overlap, "overlap", 24*time.Hour, "how long the replaced key stays valid")
	_ = cmd.MarkFlagRequired("team")
	return cmd
}

// expireReplacedKey sets the expiry of a replaced key to now plus overlap. replaces is the
// digest of that key; if replaces is empty, expireReplacedKey does nothing.
func expireReplacedKey(ctx context.Context, a *applier.Applier, replaces string, overlap time.Duration) error {
	if replaces == "" {
		return nil
	}
	var digest authenticator.Digest
	if err := digest.UnmarshalText([]byte(replaces)); err != nil {
		return err
	}
	_, err := a.ExpireKey(ctx, digest, time.Now().UTC().Add(overlap))
	return err
}

func keyWithdrawCommand() *cobra.Command {
	var p platformFlags
	cmd := &cobra.Command{
		Use:   "withdraw DIGEST",
		Short: "Withdraw a key and wait until every instance rejects it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var digest authenticator.Digest
			if err := digest.UnmarshalText([]byte(args[0])); err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			return p.change(cmd.Context(), w, func(ctx context.Context, store storer.Store) (storer.Object, error) {
				withdrawn, err := applier.New(store).WithdrawKey(ctx, digest)
				if err == nil {
					printf(w, "accepted: withdrawn at version %d\n", withdrawn.Version)
				}
				return withdrawn, err
			})
		},
	}
	p.addFlags(cmd)
	p.addWaitFlags(cmd)
	return cmd
}

func keyListCommand() *cobra.Command {
	var p platformFlags
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the digests of all keys",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return p.withStore(cmd.Context(), func(ctx context.Context, store storer.Store) error {
				events, err := store.List(ctx, storer.KindKey)
				for _, o := range events.Objects {
					writeKey(cmd.OutOrStdout(), o)
				}
				return err
			})
		},
	}
	p.addFlags(cmd)
	return cmd
}

// writeKey prints a line with a key's digest, team, time of issue and state.
func writeKey(w io.Writer, o storer.Object) {
	r, err := authenticator.ParseRecord(o.Value)
	if err != nil {
		printf(w, "%s\tinvalid: %v\n", o.Name, err)
		return
	}
	state := "in force"
	switch {
	case r.Withdrawn:
		state = "withdrawn"
	case r.Expires != nil && time.Now().Before(*r.Expires):
		state = "expires " + r.Expires.Format(time.RFC3339)
	case r.Expires != nil:
		state = "expired"
	}
	printf(w, "%s\t%s\t%s\t%s\n", r.Digest, r.Team, r.Issued.Format(time.RFC3339), state)
}
