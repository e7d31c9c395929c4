package daemon

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"primroseseam.org/seam/certifier"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/prover"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/forwarder"
	"primroseseam.org/seamd/loader"
)

const (
	// peerDialTimeout bounds a new connection to a peer.
	peerDialTimeout = time.Second
	// peerIdleTimeout closes connections to peers that are not used.
	peerIdleTimeout = 90 * time.Second
	// peerIdleConns bounds the unused connections to one peer.
	peerIdleConns = 4
)

// security holds what the settings say about TLS and proofs.
type security struct {
	listeners map[string]*certifier.Reloader
	prover    *prover.Prover
}

func files(f loader.TLSFiles) certifier.Files {
	return certifier.Files{Cert: f.CertFile, Key: f.KeyFile, CA: f.CAFile}
}

// secure reads the certificates and the secret that the settings name.
func (d *Daemon) secure() error {
	s := d.settings.Security
	secret, err := s.PeerSecret()
	if err != nil {
		return err
	}
	if secret != nil {
		d.security.prover = prover.New(secret, prover.WithClock(d.clock))
	}
	d.security.listeners = map[string]*certifier.Reloader{}
	named := map[string]loader.TLSFiles{"callers": s.Callers, "lookups": s.Lookups, "peers": s.Peers, "metrics": s.Metrics}
	for name, f := range named {
		if !f.Enabled() {
			continue
		}
		opts := []certifier.Option{certifier.WithClock(d.clock)}
		if secret != nil {
			opts = append(opts, certifier.WithOptionalClientCerts())
		}
		c, err := certifier.New(files(f), opts...)
		if err != nil {
			return coder.Errorf(coder.SettingsInvalid, "security."+name, "%w", err)
		}
		d.security.listeners[name] = c
	}
	d.peerClient = &http.Client{Transport: d.peerTransport()}
	return nil
}

// secureListener wraps a listener in TLS if the settings say so.
func (d *Daemon) secureListener(name string, l net.Listener) net.Listener {
	if name == "callers" {
		return headListener{d.encrypted(name, l)}
	}
	return d.encrypted(name, l)
}

func (d *Daemon) encrypted(name string, l net.Listener) net.Listener {
	if c, ok := d.security.listeners[name]; ok {
		return tls.NewListener(l, c.ServerConfig())
	}
	return l
}

// peerTransport connects to peers as the settings say.
func (d *Daemon) peerTransport() http.RoundTripper {
	base := &http.Transport{
		DialContext:         d.peerDial,
		MaxIdleConnsPerHost: peerIdleConns,
		IdleConnTimeout:     peerIdleTimeout,
	}
	if c, ok := d.security.listeners["peers"]; ok {
		base.TLSClientConfig = c.ClientConfig()
	}
	if d.security.prover == nil {
		return base
	}
	return d.security.prover.Transport(base)
}

// newForwarder passes requests to peers as the settings say.
func (d *Daemon) newForwarder() *forwarder.Forwarder {
	opts := append(slices.Clone(d.forwarding), forwarder.WithPeerDial(d.peerDial))
	if c, ok := d.security.listeners["peers"]; ok {
		opts = append(opts, forwarder.WithPeerTLS(c.ClientConfig()))
	}
	if d.security.prover != nil {
		opts = append(opts, forwarder.WithProver(d.security.prover))
	}
	return forwarder.New(opts...)
}

// authenticatePeers lets only peers and operators through that have proved
// themselves, by a certificate or by the shared secret.
func (d *Daemon) authenticatePeers(next http.Handler) http.Handler {
	if d.security.prover == nil {
		return next
	}
	proved := d.security.prover.Handler(next)
	refused := d.metrics.NewCounter("seam_peers_refused_total")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &statusWriter{ResponseWriter: w}
		proved.ServeHTTP(counted, r)
		if counted.status == http.StatusUnauthorized {
			refused.Inc()
		}
	})
}

// statusWriter notes the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// peerURL returns the base address of a peer.
func (d *Daemon) peerURL(address string) string {
	if _, ok := d.security.listeners["peers"]; ok {
		return "https://" + address
	}
	return "http://" + address
}

// newStore returns the platform's store as the settings say.
func newStore(settings loader.Settings) (storer.Store, error) {
	f := settings.Security.Platform
	if f == (loader.TLSFiles{}) {
		return storer.NewHTTP(settings.Platform.Address), nil
	}
	c, err := certifier.New(files(f))
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: c.ClientConfig(), MaxIdleConnsPerHost: peerIdleConns}}
	return storer.NewHTTP(settings.Platform.Address, storer.WithClient(client)), nil
}
