// Package certifier makes TLS settings from files and reads the files again
// when they change, so that a certificate is renewed without a restart.
//
// # Usage
//
//	c, err := certifier.New(certifier.Files{Cert: "seamd.pem", Key: "seamd.key", CA: "peers.pem"})
//	listener = tls.NewListener(listener, c.Server())
//	client.Transport = &http.Transport{TLSClientConfig: c.Client()}
//
// A file that can't be read or parsed leaves what was read before in force.
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

// checkEvery is the time between two looks at the files.
const checkEvery = time.Second

// Files names a certificate, its key, and the authority that signs the other
// side's certificates. Empty names leave a part out.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Reloader holds the newest content of its files. It is safe for concurrent
// use.
type Reloader struct {
	files    Files
	clock    clockwork.Clock
	optional bool

	mu      sync.Mutex
	checked time.Time
	stamp   string
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// Option changes a certifier at its creation.
type Option func(*Reloader)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(f *Reloader) { f.clock = c } }

// WithOptionalClientCerts takes clients without a certificate too, since they prove
// themselves otherwise.
func WithOptionalClientCerts() Option { return func(f *Reloader) { f.optional = true } }

// New reads the files for the first time.
func New(files Files, opts ...Option) (*Reloader, error) {
	c := &Reloader{files: files, clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(c)
	}
	c.stamp = c.readStamp()
	return c, c.read()
}

// ServerConfig returns the settings of a listener.
func (c *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := c.current()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if pool != nil {
				config.ClientCAs = pool
				config.ClientAuth = tls.RequireAndVerifyClientCert
				if c.optional {
					config.ClientAuth = tls.VerifyClientCertIfGiven
				}
			}
			return config, nil
		},
	}
}

// ClientConfig returns the settings of a client. The server's certificate is checked
// against the newest authority, or against the system's if none is named.
func (c *Reloader) ClientConfig() *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if c.files.Cert != "" {
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		}
	}
	if c.files.CA != "" {
		// VerifyConnection does the whole check, with an authority that may
		// have been renewed since.
		config.InsecureSkipVerify = true
		config.VerifyConnection = c.verify
	}
	return config
}

func (c *Reloader) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("server sent no certificate")
	}
	_, pool := c.current()
	options := x509.VerifyOptions{Roots: pool, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// current returns the newest content of the files.
func (c *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.clock.Now(); now.Sub(c.checked) >= checkEvery {
		c.checked = now
		if stamp := c.readStamp(); stamp != c.stamp && c.read() == nil {
			c.stamp = stamp
		}
	}
	return c.cert, c.pool
}

// readStamp sums up the times and sizes of the files.
func (c *Reloader) readStamp() string {
	stamp := ""
	for _, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		if info, err := os.Stat(name); err == nil {
			stamp += fmt.Sprintf("%d/%d ", info.ModTime().UnixNano(), info.Size())
		}
	}
	return stamp
}

func (c *Reloader) read() error {
	cert, pool := c.cert, c.pool
	if c.files.Cert != "" {
		pair, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
		if err != nil {
			return fmt.Errorf("read certificate: %w", err)
		}
		cert = &pair
	}
	if c.files.CA != "" {
		data, err := os.ReadFile(c.files.CA)
		if err != nil {
			return fmt.Errorf("read authority: %w", err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return fmt.Errorf("read authority: no certificate in %s", c.files.CA)
		}
	}
	c.cert, c.pool = cert, pool
	return nil
}
