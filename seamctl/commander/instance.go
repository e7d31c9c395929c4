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
	// drainPollInterval is the wait between two health checks of an instance that is
	// shutting down.
	drainPollInterval = 200 * time.Millisecond
	// defaultDrainLimit is how long the drain command waits, by default, for an instance
	// to stop.
	defaultDrainLimit = time.Minute
	// maxResponseBytes limits how much of an instance's response is read.
	maxResponseBytes = 1 << 20
)

// instanceFlags holds the flags of commands that send requests to the peer listener of an
// instance. The security flags set the secret shared by instances and operators.
type instanceFlags struct {
	platformFlags
	security loader.Security
}

func (f *instanceFlags) addFlags(cmd *cobra.Command) {
	f.platformFlags.addFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&f.security.PeerSecretFile, "secret-file", "", "file with the secret shared by instances and operators")
	flags.StringVar(&f.security.PeerSecretVariable, "secret-variable", "", "environment variable with that secret")
}

// peerClient returns an HTTP client. If a shared secret is set, the client signs its
// requests with the secret. It doesn't use the TLS flags.
func (f *instanceFlags) peerClient() (*http.Client, error) {
	secret, err := f.security.PeerSecret()
	if err != nil || secret == nil {
		return http.DefaultClient, err
	}
	return &http.Client{Transport: prover.New(secret).Transport(http.DefaultTransport)}, nil
}

// findInstance returns the instance with the given id from the platform's instance list,
// or an error if the list doesn't have it.
func (f *instanceFlags) findInstance(ctx context.Context, id string) (storer.Instance, error) {
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
		return coder.Errorf(coder.StoreNotFound, id, "no such instance in the platform's instance list")
	})
	return found, err
}

// call sends a request to the peer listener of an instance and decodes the JSON
// response into result.
func (f *instanceFlags) call(ctx context.Context, method string, i storer.Instance, path string, result any) error {
	client, err := f.peerClient()
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.PeerAddress+path, nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("request to %s: %w", i.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return fmt.Errorf("read response of %s: %w", i.ID, err)
	case resp.StatusCode == http.StatusUnauthorized:
		return coder.Errorf(coder.PeerUnauthenticated, i.ID, "set --secret-file or --secret-variable")
	case resp.StatusCode >= http.StatusBadRequest:
		return fmt.Errorf("%s responded with %s: %s", i.ID, resp.Status, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, result)
}

func instanceCommand() *cobra.Command {
	parent := &cobra.Command{Use: "instance", Short: "List and drain instances"}
	parent.AddCommand(instanceListCommand(), instanceDrainCommand())
	return parent
}

func instanceListCommand() *cobra.Command {
	var p platformFlags
	var format outputFormat
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the instances in the platform's instance list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := format.check(); err != nil {
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
				return format.print(cmd.OutOrStdout(), t, list)
			})
		},
	}
	p.addFlags(cmd)
	format.addFlag(cmd)
	return cmd
}

func instanceDrainCommand() *cobra.Command {
	var f instanceFlags
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "drain INSTANCE",
		Short: "Shut an instance down gracefully and wait until it has stopped",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.drain(cmd.Context(), cmd.ErrOrStderr(), args[0], limit)
		},
	}
	f.addFlags(cmd)
	cmd.Flags().DurationVar(&limit, "limit", defaultDrainLimit, "how long to wait for the instance to stop; 0 returns at once")
	return cmd
}

// drain asks an instance to shut down, and waits until its look-up listener no longer
// responds. It returns an error if the listener still responds after limit. If limit is 0
// or less, drain doesn't wait.
func (f *instanceFlags) drain(ctx context.Context, progress io.Writer, id string, limit time.Duration) error {
	i, err := f.findInstance(ctx, id)
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
	for f.isServing(ctx, i) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s has not stopped after %v", id, limit)
		case <-time.After(drainPollInterval):
		}
	}
	printf(progress, "%s has stopped after %v\n", id, time.Since(started).Round(time.Millisecond))
	return nil
}

// isServing reports whether the look-up listener of an instance responds. A request that
// fails because ctx has ended counts as a response. Otherwise drain would report at its
// time limit that the instance has stopped.
func (f *instanceFlags) isServing(ctx context.Context, i storer.Instance) bool {
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

// explainPath returns the path and query under which an instance's peer listener returns
// its routing decisions for a request.
func explainPath(requestID string) string { return "/v1/explain?request=" + url.QueryEscape(requestID) }
