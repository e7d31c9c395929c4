package loader

import (
	"bytes"
	"os"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/prover"
)

// Security configures TLS for each listener, and how peers (other instances) and
// operators authenticate. Certificate, key and CA files are reloaded when they change.
// The shared secret is read only at the start.
type Security struct {
	Callers TLSFiles `json:"callers"`
	Lookups TLSFiles `json:"lookups"`
	Metrics TLSFiles `json:"metrics"`
	// Peers configures the connections between instances. If it has a CAFile, clients
	// must present a certificate signed by that CA. If a shared secret is set too,
	// the certificate is optional.
	Peers TLSFiles `json:"peers"`
	// Platform configures the TLS client of the platform's object service.
	Platform TLSFiles `json:"platform"`
	// PeerSecretFile is the path of the file with the secret that instances and
	// operators share.
	PeerSecretFile string `json:"peerSecretFile,omitempty"`
	// PeerSecretVariable is the name of the environment variable with the shared
	// secret, as an alternative to PeerSecretFile.
	PeerSecretVariable string `json:"peerSecretVariable,omitempty"`
	// UnauthenticatedPeers accepts any peer without authentication. It is meant for
	// experiments on one machine.
	UnauthenticatedPeers bool `json:"unauthenticatedPeers,omitempty"`
}

// TLSFiles holds the paths of a certificate, its private key, and the certificate of the
// CA that signs the certificates of the other end of the connections.
type TLSFiles struct {
	CertFile string `json:"certFile,omitempty"`
	KeyFile  string `json:"keyFile,omitempty"`
	CAFile   string `json:"caFile,omitempty"`
}

// Enabled reports whether the listener with these files uses TLS: whether a certificate
// is set.
func (f TLSFiles) Enabled() bool { return f.CertFile != "" }

// check returns an error for the first invalid setting, or nil.
func (s Security) check() error {
	files := []struct {
		path  string
		files TLSFiles
	}{
		{"security.callers", s.Callers},
		{"security.lookups", s.Lookups},
		{"security.metrics", s.Metrics},
		{"security.peers", s.Peers},
		{"security.platform", s.Platform},
	}
	for _, f := range files {
		if (f.files.CertFile == "") != (f.files.KeyFile == "") {
			return coder.Errorf(coder.SettingsInvalid, f.path, "set both certFile and keyFile, or neither")
		}
	}
	for _, f := range files {
		if err := f.files.checkReadable(f.path); err != nil {
			return err
		}
	}
	if s.Peers.CAFile != "" && !s.Peers.Enabled() {
		return coder.Errorf(coder.SettingsInvalid, "security.peers.caFile", "requires certFile and keyFile")
	}
	if s.PeerSecretFile != "" && s.PeerSecretVariable != "" {
		return coder.Errorf(coder.SettingsInvalid, "security.peerSecretVariable", "set either this or peerSecretFile, not both")
	}
	secret, err := s.PeerSecret()
	if err != nil {
		return err
	}
	if secret == nil && s.Peers.CAFile == "" && !s.UnauthenticatedPeers {
		return coder.Errorf(coder.SettingsInvalid, "security",
			"set peerSecretFile, peerSecretVariable, peers.caFile or unauthenticatedPeers; without one of them, peers and operators can't be authenticated")
	}
	return nil
}

// checkReadable returns an error if one of the files can't be opened. path is the path of
// the setting that holds them.
func (f TLSFiles) checkReadable(path string) error {
	named := []struct{ field, file string }{{"certFile", f.CertFile}, {"keyFile", f.KeyFile}, {"caFile", f.CAFile}}
	for _, n := range named {
		if n.file == "" {
			continue
		}
		openFile, err := os.Open(n.file)
		if err != nil {
			return coder.Errorf(coder.SettingsInvalid, path+"."+n.field, "file can't be read: %w; check its path and permissions", err)
		}
		_ = openFile.Close()
	}
	return nil
}

// PeerSecret reads the shared secret from its file or environment variable. It returns
// nil if neither is configured.
func (s Security) PeerSecret() ([]byte, error) {
	switch {
	case s.PeerSecretVariable != "":
		return trimSecret("security.peerSecretVariable", []byte(os.Getenv(s.PeerSecretVariable)))
	case s.PeerSecretFile != "":
		data, err := os.ReadFile(s.PeerSecretFile)
		if err != nil {
			return nil, coder.Errorf(coder.SettingsInvalid, "security.peerSecretFile", "read secret file: %w", err)
		}
		return trimSecret("security.peerSecretFile", data)
	}
	return nil, nil
}

// trimSecret returns the secret without leading and trailing white space. It returns an
// error for the setting at path if the secret is too short.
func trimSecret(path string, data []byte) ([]byte, error) {
	secret := bytes.TrimSpace(data)
	if len(secret) < prover.MinSecretBytes {
		return nil, coder.Errorf(coder.SettingsInvalid, path, "secret has %d bytes; it needs at least %d", len(secret), prover.MinSecretBytes)
	}
	return secret, nil
}
