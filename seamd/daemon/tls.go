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
	// peerIdleConns is the maximum number of idle connections to each peer, and to
	// the store if it is used over TLS.
	peerIdleConns = 4
)

// security holds the certificates of the listeners that use TLS, by the listener's name.
// It also holds the prover, which signs and verifies requests between peers with the
// shared secret, or is nil if no secret is set.
type security struct {
	listeners map[string]*certifier.Reloader
	prover    *prover.Prover
}

func certifierFiles(f loader.TLSFiles) certifier.Files {
	return certifier.Files{Cert: f.CertFile, Key: f.KeyFile, CA: f.CAFile}
}

// loadSecurity reads the certificates and the shared secret that the settings name, and
// creates the HTTP client for calls to peers. If there is a shared secret, TLS clients
// need no certificate.
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

// secureListener wraps a listener in TLS if TLS is configured for it. The listener for
// callers also records the heads of requests; see headConn.
func (d *Daemon) secureListener(name string, l net.Listener) net.Listener {
	if name == "callers" {
		return headListener{d.withTLS(name, l)}
	}
	return d.withTLS(name, l)
}

// withTLS wraps a listener in TLS if TLS is configured for it.
func (d *Daemon) withTLS(name string, l net.Listener) net.Listener {
	if c, ok := d.security.listeners[name]; ok {
		return tls.NewListener(l, c.ServerConfig())
	}
	return l
}

// peerTransport returns the HTTP transport for calls to peers. It uses TLS if that is
// configured, and signs requests if there is a shared secret.
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

// newForwarder returns the forwarder. For requests to peers, it uses TLS if that is
// configured, and signs requests if there is a shared secret.
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

// authenticatePeers wraps a handler so that it serves only requests with a valid proof of
// the shared secret, and counts the refused requests. Without a shared secret, it returns
// the handler unchanged. In that case, if a CA is configured for peers, the TLS listener
// has already required a client certificate.
func (d *Daemon) authenticatePeers(next http.Handler) http.Handler {
	if d.security.prover == nil {
		return next
	}
	authenticated := d.security.prover.Handler(next)
	refusalCounter := d.metrics.NewCounter("seam_peers_refused_total")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recordingWriter := &statusWriter{ResponseWriter: w}
		authenticated.ServeHTTP(recordingWriter, r)
		if recordingWriter.status == http.StatusUnauthorized {
			refusalCounter.Inc()
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

// newStore returns an HTTP client of the platform's store. It uses TLS options if any are
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
