package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/loader"

	"primroseseam.org/seam/prover"
)

const (
	// drainPoll is the time between two looks whether an instance has stopped.
	drainPoll = 200 * time.Millisecond
	// defaultDrainLimit bounds the wait for a planned stop.
	defaultDrainLimit = time.Minute
	// maxAnswerBytes bounds what is read of an instance's answer.
	maxAnswerBytes = 1 << 20
)

// fleet holds the flags of commands that talk to instances as an operator.
type fleet struct {
	platform
	security loader.Security
}

func (f *fleet) addFlags(cmd *cobra.Command) {
	f.platform.addFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&f.security.PeerSecretFile, "secret-file", "", "file with the secret that instances and operators share")
	flags.StringVar(&f.security.PeerSecretVariable, "secret-variable", "", "environment variable with that secret")
}

// client returns a client that proves itself with the shared secret.
func (f *fleet) client() (*http.Client, error) {
	secret, err := f.security.PeerSecret()
	if err != nil || secret == nil {
		return http.DefaultClient, err
	}
	return &http.Client{Transport: prover.New(secret).Transport(http.DefaultTransport)}, nil
}

// find returns an instance of the platform's list.
func (f *fleet) find(ctx context.Context, id string) (storer.Instance, error) {
	var found storer.Instance
	err := f.withStore(ctx, func(ctx context.Context, store storer.Store) error {
		list, err := store.Instances(ctx)
		for _, i := range list {
			if i.ID == id {
				found = i
				return nil
			}
		}
		if err != nil {
			return err
		}
		return coder.Errorf(coder.StoreNotFound, id, "no such instance in the platform's list")
	})
	return found, err
}

// call asks an instance on its peers' listener and decodes its answer.
func (f *fleet) call(ctx context.Context, method string, i storer.Instance, path string, out any) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.PeerAddress+path, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("ask %s: %w", i.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return fmt.Errorf("read answer of %s: %w", i.ID, err)
	case resp.StatusCode == http.StatusUnauthorized:
		return coder.Errorf(coder.PeerUnauthenticated, i.ID, "set --secret-file or --secret-variable")
	case resp.StatusCode >= http.StatusBadRequest:
		return fmt.Errorf("%s answered %s: %s", i.ID, resp.Status, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, out)
}

func instanceCommand() *cobra.Command {
	parent := &cobra.Command{Use: "instance", Short: "List and drain entry instances"}
	parent.AddCommand(instanceListCommand(), instanceDrainCommand())
	return parent
}

func instanceListCommand() *cobra.Command {
	var p platform
	var out output
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the instances that the platform knows",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.check(); err != nil {
				return err
			}
			return p.withStore(cmd.Context(), func(ctx context.Context, store storer.Store) error {
				list, err := store.Instances(ctx)
				if err != nil {
					return err
				}
				t := table{columns: []string{"INSTANCE", "REGION", "DOMAIN", "STATE", "CALLERS", "LOOKUPS", "PEERS"}}
				for _, i := range list {
					t.add(i.ID, i.Region, i.FailureDomain, string(i.State), i.CallerAddress, i.LookupAddress, i.PeerAddress)
				}
				return out.print(cmd.OutOrStdout(), t, list)
			})
		},
	}
	p.addFlags(cmd)
	out.addFlag(cmd)
	return cmd
}

func instanceDrainCommand() *cobra.Command {
	var f fleet
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "drain INSTANCE",
		Short: "Stop an instance as planned and wait until it has stopped",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.drain(cmd.Context(), cmd.ErrOrStderr(), args[0], limit)
		},
	}
	f.addFlags(cmd)
	cmd.Flags().DurationVar(&limit, "limit", defaultDrainLimit, "how long to wait; 0 returns at once")
	return cmd
}

// drain asks an instance to stop and waits until its look-ups don't answer.
func (f *fleet) drain(ctx context.Context, progress io.Writer, id string, limit time.Duration) error {
	i, err := f.find(ctx, id)
	if err != nil {
		return err
	}
	started := time.Now()
	var accepted struct{ Instance string }
	if err := f.call(ctx, http.MethodPost, i, "/v1/drain", &accepted); err != nil {
		return err
	}
	printf(progress, "%s is leaving\n", id)
	if limit <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for f.serves(ctx, i) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s has not stopped after %v", id, limit)
		case <-time.After(drainPoll):
		}
	}
	printf(progress, "%s has stopped after %v\n", id, time.Since(started).Round(time.Millisecond))
	return nil
}

func (f *fleet) serves(ctx context.Context, i storer.Instance) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.LookupAddress+"/v1/health", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ctx.Err() != nil
	}
	return resp.Body.Close() == nil
}

// requestPath returns the path that explains a request.
func requestPath(request string) string { return "/v1/explain?request=" + url.QueryEscape(request) }
