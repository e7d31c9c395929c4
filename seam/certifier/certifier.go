// Package certifier builds TLS configurations from certificate files and reloads the files
// when they change, so that a certificate can be renewed without a restart. The fleet
// daemon seamd and the operators' client seamctl use it.
//
// # Usage
//
//	c, err := certifier.New(certifier.Files{Cert: "seamd.pem", Key: "seamd.key", CA: "peers.pem"})
//	listener = tls.NewListener(listener, c.ServerConfig())
//	client.Transport = &http.Transport{TLSClientConfig: c.ClientConfig()}
//
// If one of the files can't be read or parsed on a reload, all certificates that were
// loaded before stay in use.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// checkInterval is the minimum time between two checks for changed files.
const checkInterval = time.Second

// Files holds the names of the files of a certificate, of its private key, and of the CA
// certificates. The CA certificates verify the certificate of the other side of a
// connection. If Cert or CA is empty, there is no such certificate.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Reloader holds the certificates of its files and reloads them when the files change. It
// checks for changes during TLS handshakes. It is safe for concurrent use.
type Reloader struct {
	files              Files
	clock              clockwork.Clock
	clientCertOptional bool

	mu          sync.Mutex
	checkedAt   time.Time
	fingerprint string
	cert        *tls.Certificate
	pool        *x509.CertPool
}

// Option configures a Reloader.
type Option func(*Reloader)

// WithClock sets the clock that times the checks for changed files.
func WithClock(c clockwork.Clock) Option { return func(r *Reloader) { r.clock = c } }

// WithOptionalClientCerts makes a server also accept clients that send no certificate. It
// is for servers that can authenticate clients in another way too. If a client sends a
// certificate, the certificate must be valid.
func WithOptionalClientCerts() Option { return func(r *Reloader) { r.clientCertOptional = true } }

// New returns a Reloader that has loaded the files. It fails if a file can't be read or
// parsed.
func New(files Files, opts ...Option) (*Reloader, error) {
	r := &Reloader{files: files, clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(r)
	}
	r.fingerprint = r.readFingerprint()
	return r, r.load()
}

// ServerConfig returns the TLS configuration of a listener. It requires Files.Cert. If
// Files.CA is set, clients must send a certificate that one of these CAs signed. With
// WithOptionalClientCerts, clients may also send no certificate.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := r.current()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if pool != nil {
				config.ClientCAs = pool
				config.ClientAuth = tls.RequireAndVerifyClientCert
				if r.clientCertOptional {
					config.ClientAuth = tls.VerifyClientCertIfGiven
				}
			}
			return config, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a client. The server's certificate is
// verified against the CA certificates that were last loaded from Files.CA. If Files.CA is
// empty, it is verified against the CA certificates of the operating system.
func (r *Reloader) ClientConfig() *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if r.files.Cert != "" {
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		}
	}
	if r.files.CA != "" {
		// RootCAs can't be replaced after a reload. So crypto/tls verifies nothing, and
		// VerifyConnection does the whole verification against the CA certificates
		// that were last loaded.
		config.InsecureSkipVerify = true
		config.VerifyConnection = r.verify
	}
	return config
}

// verify verifies the server's certificate chain. It also verifies the host name, unless
// ServerName is empty, as is the case for a server addressed by IP.
func (r *Reloader) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("server sent no certificate")
	}
	_, pool := r.current()
	options := x509.VerifyOptions{Roots: pool, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// current returns the certificate and the pool of CA certificates. It reloads them first if
// the files have changed, which it checks at most once per checkInterval. It retries a
// failed reload after checkInterval.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.clock.Now(); now.Sub(r.checkedAt) >= checkInterval {
		r.checkedAt = now
		if fingerprint := r.readFingerprint(); fingerprint != r.fingerprint && r.load() == nil {
			r.fingerprint = fingerprint
		}
	}
	return r.cert, r.pool
}

// readFingerprint returns the modification times and sizes of the files as one string. It
// omits files that don't exist or can't be examined.
func (r *Reloader) readFingerprint() string {
	fingerprint := ""
	for _, name := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		if info, err := os.Stat(name); err == nil {
			fingerprint += fmt.Sprintf("%d/%d ", info.ModTime().UnixNano(), info.Size())
		}
	}
	return fingerprint
}

// load reads all files. The certificates in use are replaced only if every file is valid.
func (r *Reloader) load() error {
	cert, pool := r.cert, r.pool
	if r.files.Cert != "" {
		pair, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
		if err != nil {
			return fmt.Errorf("read certificate: %w", err)
		}
		cert = &pair
	}
	if r.files.CA != "" {
		data, err := os.ReadFile(r.files.CA)
		if err != nil {
			return fmt.Errorf("read CA certificates: %w", err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return fmt.Errorf("read CA certificates: no valid certificate in %s", r.files.CA)
		}
	}
	r.cert, r.pool = cert, pool
	return nil
}
