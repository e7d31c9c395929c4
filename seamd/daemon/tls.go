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
	// peerDialTimeout is the timeout for opening a connection to a peer.
	peerDialTimeout = time.Second
	// peerIdleTimeout is how long an idle connection to a peer is kept.
	peerIdleTimeout = 90 * time.Second
	// peerIdleConns is the maximum number of idle connections to a peer, or to the
	// store over TLS.
	peerIdleConns = 4
)

// security holds the certificates of the listeners that use TLS, by name, and the prover
// of the shared secret, or nil if there is no secret.
type security struct {
	listeners map[string]*certifier.Reloader
	prover    *prover.Prover
}

func certifierFiles(f loader.TLSFiles) certifier.Files {
	return certifier.Files{Cert: f.CertFile, Key: f.KeyFile, CA: f.CAFile}
}

// loadSecurity reads the certificates and the shared secret that the settings name, and
// creates the client for calls to peers. With a shared secret, clients need no
// certificate.
func (d *Daemon) loadSecurity() error {
	s := d.settings.Security
	secret, err := s.PeerSecret()
	if err != nil {
		return err
	}
	if secret != nil {
		d.security.prover = prover.New(secret, prover.WithClock(d.clock))
	}
	d.security.listeners = map[string]*certifier.Reloader{}
	byListener := map[string]loader.TLSFiles{"callers": s.Callers, "lookups": s.Lookups, "peers": s.Peers, "metrics": s.Metrics}
	for name, f := range byListener {
		if !f.Enabled() {
			continue
		}
		opts := []certifier.Option{certifier.WithClock(d.clock)}
		if secret != nil {
			opts = append(opts, certifier.WithOptionalClientCerts())
		}
		c, err := certifier.New(certifierFiles(f), opts...)
		if err != nil {
			return coder.Errorf(coder.SettingsInvalid, "security."+name, "%w", err)
		}
		d.security.listeners[name] = c
	}
	d.peerClient = &http.Client{Transport: d.peerTransport()}
	return nil
}

// secureListener wraps a listener in TLS if that is configured. The listener for callers
// also records the heads of requests.
func (d *Daemon) secureListener(name string, l net.Listener) net.Listener {
	if name == "callers" {
		return headListener{d.withTLS(name, l)}
	}
	return d.withTLS(name, l)
}

// withTLS wraps a listener in TLS if that is configured.
func (d *Daemon) withTLS(name string, l net.Listener) net.Listener {
	if c, ok := d.security.listeners[name]; ok {
		return tls.NewListener(l, c.ServerConfig())
	}
	return l
}

// peerTransport returns the transport for calls to peers. It uses TLS and proofs of the
// shared secret if these are configured.
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

// newForwarder returns the forwarder. To peers, it uses TLS and proofs of the shared
// secret if these are configured.
func (d *Daemon) newForwarder() *forwarder.Forwarder {
	opts := append(slices.Clone(d.forwarderOptions), forwarder.WithPeerDial(d.peerDial))
	if c, ok := d.security.listeners["peers"]; ok {
		opts = append(opts, forwarder.WithPeerTLS(c.ClientConfig()))
	}
	if d.security.prover != nil {
		opts = append(opts, forwarder.WithProver(d.security.prover))
	}
	return forwarder.New(opts...)
}

// authenticatePeers wraps a handler such that it only serves requests with a proof of the
// shared secret. Without a shared secret, it adds no check; the TLS listener has then
// already required a client certificate if a CA is configured for peers.
func (d *Daemon) authenticatePeers(next http.Handler) http.Handler {
	if d.security.prover == nil {
		return next
	}
	authenticated := d.security.prover.Handler(next)
	refused := d.metrics.NewCounter("seam_peers_refused_total")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &statusWriter{ResponseWriter: w}
		authenticated.ServeHTTP(counted, r)
		if counted.status == http.StatusUnauthorized {
			refused.Inc()
		}
	})
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// peerURL returns the base URL of a peer.
func (d *Daemon) peerURL(address string) string {
	if _, ok := d.security.listeners["peers"]; ok {
		return "https://" + address
	}
	return "http://" + address
}

// newStore returns an HTTP client of the platform's store, with TLS if that is
// configured.
func newStore(settings loader.Settings) (storer.Store, error) {
	f := settings.Security.Platform
	if f == (loader.TLSFiles{}) {
		return storer.NewHTTP(settings.Platform.Address), nil
	}
	c, err := certifier.New(certifierFiles(f))
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: c.ClientConfig(), MaxIdleConnsPerHost: peerIdleConns}}
	return storer.NewHTTP(settings.Platform.Address, storer.WithClient(client)), nil
}
