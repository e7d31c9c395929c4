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
	// platformEnv and peerSecretFileEnv are the environment variables that set the
	// defaults of --platform and --peer-secret-file.
	platformEnv       = "SEAM_PLATFORM"
	peerSecretFileEnv = "SEAM_PEER_SECRET_FILE"
	// defaultStoreLimit is the default time limit of all calls that a command makes to
	// the store, including retries.
	defaultStoreLimit = 10 * time.Second
	// defaultInForceLimit is how long a command waits, by default, until a change is in
	// force on every instance.
	defaultInForceLimit = 30 * time.Second
)

// platformFlags holds the flags of commands that use the platform's store. For commands
// that wait until a change is in force, it also holds the awaiter, which polls the status
// of the instances.
type platformFlags struct {
	address      string
	storeLimit   time.Duration
	inForceLimit time.Duration
	noWait       bool
	secretFile   string
	tls          certifier.Files
	awaiter      *applier.Awaiter
}

func (p *platformFlags) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&p.address, "platform", os.Getenv(platformEnv),
		"address of the platform's object service (or "+platformEnv+")")
	flags.DurationVar(&p.storeLimit, "store-limit", defaultStoreLimit, "time limit of the calls to the store, with their retries")
	flags.StringVar(&p.tls.CA, "ca-file", "", "file with the CA certificates for the instances and the platform; turns TLS on")
	flags.StringVar(&p.tls.Cert, "cert-file", "", "file with the client certificate")
	flags.StringVar(&p.tls.Key, "key-file", "", "file with the private key of the client certificate")
}

func (p *platformFlags) addWaitFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.DurationVar(&p.inForceLimit, "in-force-limit", defaultInForceLimit, "how long to wait until the change is in force on every instance")
	flags.BoolVar(&p.noWait, "no-wait", false, "don't wait until the change is in force")
	flags.StringVar(&p.secretFile, "peer-secret-file", os.Getenv(peerSecretFileEnv),
		"file with the secret shared with the instances, to send them the change directly (or "+peerSecretFileEnv+")")
}

func (p *platformFlags) newStore() (storer.Store, error) {
	if p.address == "" {
		return nil, fmt.Errorf("set --platform or %s", platformEnv)
	}
	client, err := p.newClient()
	if err != nil {
		return nil, err
	}
	return storer.NewHTTP(p.address, storer.WithClient(client)), nil
}

// newClient returns an HTTP client, with TLS if one of the TLS flags is set.
func (p *platformFlags) newClient() (*http.Client, error) {
	if p.tls == (certifier.Files{}) {
		return &http.Client{}, nil
	}
	c, err := certifier.New(p.tls)
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: c.ClientConfig()}}, nil
}

// newAwaiter returns an Awaiter that has read the platform's instance list. If a peer
// secret or a client certificate is set, the Awaiter can also send changes directly to
// the instances.
func (p *platformFlags) newAwaiter(ctx context.Context, store storer.Store) (*applier.Awaiter, error) {
	client, err := p.newClient()
	if err != nil {
		return nil, err
	}
	var opts []applier.AwaiterOption
	scheme := "http"
	if p.tls != (certifier.Files{}) {
		scheme = "https"
		opts = append(opts, applier.WithTLSClient(client))
	}
	peerClient := *client
	if p.secretFile != "" {
		secret, err := loader.Security{PeerSecretFile: p.secretFile}.PeerSecret()
		if err != nil {
			return nil, err
		}
		transport := client.Transport
		if transport == nil {
			transport = http.DefaultTransport
		}
		peerClient.Transport = prover.New(secret).Transport(transport)
	}
	if p.secretFile != "" || p.tls.Cert != "" {
		opts = append(opts, applier.WithPeerClient(&peerClient, scheme))
	}
	a := applier.NewAwaiter(store, opts...)
	return a, a.LoadInstances(ctx)
}

// withStore calls run with a client of the store, and returns its error. The context that
// run gets ends after the time limit for calls to the store.
func (p *platformFlags) withStore(ctx context.Context, run func(context.Context, storer.Store) error) error {
	store, err := p.newStore()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.storeLimit)
	defer cancel()
	return run(ctx, store)
}

// change calls write, which writes an object to the store and returns it. Then change sends
// the object to the instances and waits until it is in force on all of them. With --no-wait
// it only calls write. The instance list is read before the write, so that the wait works
// even if the store fails after the write.
func (p *platformFlags) change(ctx context.Context, w io.Writer, write func(context.Context, storer.Store) (storer.Object, error)) error {
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

// await sends an object to the instances, waits until it is in force on all of them and
// prints a line for each instance. An object without a value isn't sent: its change was
// already in the store when the command wrote it.
func (p *platformFlags) await(ctx context.Context, w io.Writer, o storer.Object) error {
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

// printf writes to the command's output and ignores errors.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
