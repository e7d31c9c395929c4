package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/certifier"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/prover"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/loader"
)

const (
	platformVariable = "SEAM_PLATFORM"
	secretVariable   = "SEAM_PEER_SECRET_FILE"
	// defaultStoreLimit bounds the tries at the store.
	defaultStoreLimit = 10 * time.Second
	// defaultInForceLimit bounds the wait until a change is in force.
	defaultInForceLimit = 30 * time.Second
)

// platform holds the flags of commands that talk to the platform and to
// instances.
type platform struct {
	address      string
	storeLimit   time.Duration
	inForceLimit time.Duration
	noWait       bool
	secretFile   string
	tls          certifier.Files
	awaiter      *applier.Awaiter
}

func (p *platform) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&p.address, "platform", os.Getenv(platformVariable),
		"address of the platform's object service (or "+platformVariable+")")
	flags.DurationVar(&p.storeLimit, "store-limit", defaultStoreLimit, "how long to try at the store")
	flags.StringVar(&p.tls.CA, "ca-file", "", "authority of the instances' and the platform's certificates; turns TLS on")
	flags.StringVar(&p.tls.Cert, "cert-file", "", "client certificate")
	flags.StringVar(&p.tls.Key, "key-file", "", "key of the client certificate")
}

func (p *platform) addWaitFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.DurationVar(&p.inForceLimit, "in-force-limit", defaultInForceLimit, "how long to wait for every instance")
	flags.BoolVar(&p.noWait, "no-wait", false, "return once the change is accepted")
	flags.StringVar(&p.secretFile, "peer-secret-file", os.Getenv(secretVariable),
		"secret shared with the instances, to show them a change at once (or "+secretVariable+")")
}

func (p *platform) store() (storer.Store, error) {
	if p.address == "" {
		return nil, fmt.Errorf("set --platform or %s", platformVariable)
	}
	client, err := p.client()
	if err != nil {
		return nil, err
	}
	return storer.NewHTTP(p.address, storer.WithClient(client)), nil
}

// client returns an HTTP client with the TLS settings of the flags.
func (p *platform) client() (*http.Client, error) {
	if p.tls == (certifier.Files{}) {
		return &http.Client{}, nil
	}
	c, err := certifier.New(p.tls)
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: c.ClientConfig()}}, nil
}

// newAwaiter returns who asks the instances, and reads their list.
func (p *platform) newAwaiter(ctx context.Context, store storer.Store) (*applier.Awaiter, error) {
	client, err := p.client()
	if err != nil {
		return nil, err
	}
	var opts []applier.AwaiterOption
	scheme := "http"
	if p.tls != (certifier.Files{}) {
		scheme = "https"
		opts = append(opts, applier.WithTLSClient(client))
	}
	peer := *client
	if p.secretFile != "" {
		secret, err := loader.Security{PeerSecretFile: p.secretFile}.PeerSecret()
		if err != nil {
			return nil, err
		}
		base := client.Transport
		if base == nil {
			base = http.DefaultTransport
		}
		peer.Transport = prover.New(secret).Transport(base)
	}
	if p.secretFile != "" || p.tls.Cert != "" {
		opts = append(opts, applier.WithPeerClient(&peer, scheme))
	}
	a := applier.NewAwaiter(store, opts...)
	return a, a.LoadInstances(ctx)
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

// change runs a change with a time limit for the store, then shows what it
// wrote to the instances and waits until it is in force.
func (p *platform) change(ctx context.Context, w io.Writer, write func(context.Context, storer.Store) (storer.Object, error)) error {
	var written storer.Object
	err := p.withStore(ctx, func(ctx context.Context, store storer.Store) error {
		var err error
		if !p.noWait {
			if p.awaiter, err = p.newAwaiter(ctx, store); err != nil {
				return err
			}
		}
		written, err = write(ctx, store)
		return err
	})
	if err != nil || p.noWait {
		return err
	}
	return p.await(ctx, w, written)
}

// await waits for an object to be in force and prints a line per instance.
func (p *platform) await(ctx context.Context, w io.Writer, o storer.Object) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.inForceLimit)
	defer cancel()
	if len(o.Value) > 0 {
		p.awaiter.Offer(ctx, o)
	}
	progress := func(p applier.Progress) {
		printf(w, "in force: %s (%s) after %v\n", p.Instance.ID, p.Instance.Region, time.Since(started).Round(time.Millisecond))
	}
	wait := p.awaiter.WaitForConfig
	switch o.Kind {
	case storer.KindKey:
		wait = p.awaiter.WaitForKey
	case storer.KindClientMap:
		wait = p.awaiter.WaitForClientMap
	}
	err := wait(ctx, o, progress)
	if coder.CodeOf(err) == coder.ConfigNotInForce {
		printf(w, "accepted, but not in force everywhere\n")
	}
	if err == nil {
		printf(w, "in force everywhere after %v\n", time.Since(started).Round(time.Millisecond))
	}
	return err
}

// printf writes to the command's output.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
