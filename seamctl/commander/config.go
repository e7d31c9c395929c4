package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/schemer"
	"primroseseam.org/seam/storer"
)

func configCommand() *cobra.Command {
	parent := &cobra.Command{Use: "config", Short: "Check, change and inspect the configuration of the fleet"}
	parent.AddCommand(
		configCheckCommand(), configShowCommand(), configDiffCommand(), configApplyCommand(),
		configStatusCommand(), configHistoryCommand(), configExplainCommand(), configSchemaCommand(),
	)
	return parent
}

// readConfig reads a configuration file. It returns an error if the configuration is
// invalid.
func readConfig(path string) (configurer.Stored, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return configurer.Stored{}, fmt.Errorf("read configuration: %w", err)
	}
	stored, err := configurer.ParseStored(data)
	if err != nil {
		return stored, err
	}
	_, err = configurer.New(stored.Document, 0)
	return stored, err
}

func configCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration file without changing anything",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := readConfig(args[0]); err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "configuration is valid\n")
			return nil
		},
	}
}

func configSchemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON Schema of a configuration file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := schemer.Configuration()
			printf(cmd.OutOrStdout(), "%s", data)
			return err
		},
	}
}

func configShowCommand() *cobra.Command {
	var p platformFlags
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print the accepted configuration as a file for `config apply`",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return p.withStore(cmd.Context(), func(ctx context.Context, store storer.Store) error {
				current, err := applier.New(store).Current(ctx)
				if err != nil {
					return err
				}
				return writeIndented(cmd.OutOrStdout(), current.Stored)
			})
		},
	}
	p.addFlags(cmd)
	return cmd
}

func configDiffCommand() *cobra.Command {
	var p platformFlags
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := readConfig(args[0])
			if err != nil {
				return err
			}
			return p.withStore(cmd.Context(), func(ctx context.Context, store storer.Store) error {
				current, err := applier.New(store).Current(ctx)
				if err != nil {
					return err
				}
				writeDifferences(cmd.OutOrStdout(), configurer.Diff(current.Document, file.Document))
				return nil
			})
		},
	}
	p.addFlags(cmd)
	return cmd
}

// applyFlags holds the flags of commands that change the configuration: the id of the
// change, the reason for it and the sequence of the version that it is based on.
type applyFlags struct {
	platformFlags
	id     string
	reason string
	base   int64
}

func configApplyCommand() *cobra.Command {
	var f applyFlags
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Propose a configuration and wait until every instance runs it",
		Long: "Proposes a configuration and waits until every instance runs it. The change block\n" +
			"of the file, as `config show` prints it, identifies the version that the file is\n" +
			"based on. For a file without one, set --base to the sequence of that version.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := readConfig(args[0])
			if err != nil {
				return err
			}
			return f.apply(cmd.Context(), cmd.OutOrStdout(), f.proposal(file))
		},
	}
	f.addFlags(cmd)
	f.addWaitFlags(cmd)
	cmd.Flags().StringVar(&f.id, "id", "", "id of the change; use the same id to retry it")
	cmd.Flags().StringVar(&f.reason, "reason", "", "reason for the change")
	cmd.Flags().Int64Var(&f.base, "base", -1, "sequence of the version that the file is based on")
	return cmd
}

// proposal returns the change that the flags and a file describe. Its base is --base or,
// if the flag isn't set, the sequence in the file's change block. If the file has no change
// block, the base is 0, which is right for the first configuration of a fleet. Without --id
// the change gets a random id.
func (f *applyFlags) proposal(file configurer.Stored) applier.Proposal {
	p := applier.Proposal{ID: f.id, Operator: operatorName(), Reason: f.reason, Document: file.Document}
	switch {
	case f.base >= 0:
		p.Base = f.base
	case file.Change != nil:
		p.Base = file.Change.Sequence
	}
	if p.ID == "" {
		p.ID = applier.NewID()
	}
	return p
}

// apply writes a change to the store, prints the outcome and waits until the change is in
// force. If the store has accepted another change on the same base, apply prints both
// changes and returns a ConflictError.
func (f *applyFlags) apply(ctx context.Context, w io.Writer, proposal applier.Proposal) error {
	printf(w, "change: %s\n", proposal.ID)
	err := f.change(ctx, w, func(ctx context.Context, store storer.Store) (storer.Object, error) {
		accepted, err := applier.New(store).Apply(ctx, proposal)
		if err == nil {
			printf(w, "accepted: sequence %d, version %d\n", accepted.Change.Sequence, accepted.Version)
		}
		if accepted.Superseded {
			printf(w, "a later change has replaced it since\n")
		}
		return accepted.Object, err
	})
	var conflict *applier.ConflictError
	if errors.As(err, &conflict) {
		writeConflict(w, conflict)
	}
	return err
}

func configStatusCommand() *cobra.Command {
	var p platformFlags
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show which configuration version each instance runs",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return p.withStore(cmd.Context(), func(ctx context.Context, store storer.Store) error {
				awaiter, err := p.newAwaiter(ctx, store)
				if err != nil {
					return err
				}
				statuses, err := awaiter.Status(ctx)
				if err != nil {
					return err
				}
				for _, i := range statuses {
					writeStatus(cmd.OutOrStdout(), i)
				}
				return nil
			})
		},
	}
	p.addFlags(cmd)
	return cmd
}

func configHistoryCommand() *cobra.Command {
	var p platformFlags
	var show int64
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List accepted changes, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return p.withStore(cmd.Context(), func(ctx context.Context, store storer.Store) error {
				a := applier.New(store)
				if show > 0 {
					stored, err := a.Archived(ctx, show)
					if err != nil {
						return err
					}
					return writeIndented(cmd.OutOrStdout(), stored)
				}
				changes, err := a.History(ctx)
				for _, c := range changes {
					printf(cmd.OutOrStdout(), "%d\t%s\t%s\t%s\t%s\n", c.Sequence, c.At.Format(time.RFC3339), c.Operator, c.ID, c.Reason)
				}
				return err
			})
		},
	}
	p.addFlags(cmd)
	cmd.Flags().Int64Var(&show, "show", 0, "print the archived version with this sequence instead of the list")
	return cmd
}

func configExplainCommand() *cobra.Command {
	var p platformFlags
	var team, endpoint, path string
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "Show which settings apply to a team, an endpoint or a path, and why",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return p.withStore(cmd.Context(), func(ctx context.Context, store storer.Store) error {
				current, err := applier.New(store).Current(ctx)
				if err != nil {
					return err
				}
				c, err := configurer.New(current.Document, current.Version)
				if err != nil {
					return err
				}
				for _, line := range c.Explain(time.Now(), configurer.Subject{Team: team, Endpoint: endpoint, Path: path}) {
					printf(cmd.OutOrStdout(), "%s\n", line)
				}
				return nil
			})
		},
	}
	p.addFlags(cmd)
	cmd.Flags().StringVar(&team, "team", "", "team to explain")
	cmd.Flags().StringVar(&endpoint, "endpoint", "", "address of the endpoint to explain")
	cmd.Flags().StringVar(&path, "path", "", "request path to explain")
	return cmd
}

// operatorName returns the name of the user that runs the command, or "" if it can't be
// found out.
func operatorName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

func writeIndented(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func writeDifferences(w io.Writer, differences []configurer.Difference) {
	for _, d := range differences {
		printf(w, "  %s: %s -> %s\n", d.Path, orNone(d.Before), orNone(d.After))
	}
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// writeConflict prints the accepted change that conflicts with a proposal. Then it prints a
// row for each path that the accepted change or the proposal changed, with the value at
// this path in the base, in the accepted configuration and in the proposal.
func writeConflict(w io.Writer, c *applier.ConflictError) {
	type row struct{ base, theirs, ours string }
	rows := map[string]row{}
	var order []string
	for _, d := range c.Theirs() {
		rows[d.Path] = row{base: d.Before, theirs: d.After, ours: d.Before}
		order = append(order, d.Path)
	}
	for _, d := range c.Ours() {
		r, changedByTheirs := rows[d.Path]
		if !changedByTheirs {
			r = row{base: d.Before, theirs: d.Before}
			order = append(order, d.Path)
		}
		r.ours = d.After
		rows[d.Path] = r
	}
	change := c.Change()
	printf(w, "conflict with change %d (%s) by %s: %s\n", change.Sequence, change.ID, orNone(change.Operator), orNone(change.Reason))
	printf(w, "path\tbase\taccepted\tyours\n")
	for _, path := range order {
		r := rows[path]
		printf(w, "%s\t%s\t%s\t%s\n", path, orNone(r.base), orNone(r.theirs), orNone(r.ours))
	}
}

func writeStatus(w io.Writer, p applier.Progress) {
	if p.Err != nil {
		printf(w, "%s\t%s\tno answer\n", p.Instance.ID, p.Instance.Region)
		return
	}
	s := p.Status
	printf(w, "%s\t%s\tversion %d\tsequence %d\tkeys %d\tkey evidence %v old\tstore reachable %t\n",
		s.Instance, s.Region, s.ConfigVersion, s.Sequence, s.Keys,
		time.Duration(s.KeyEvidenceAgeMS)*time.Millisecond, s.StoreReachable)
}
