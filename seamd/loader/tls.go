package loader

import (
	"bytes"
	"os"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/prover"
)

// Security sets TLS for each listener and how peers and operators prove
// themselves. Files are read again when they change.
type Security struct {
	Callers TLSFiles `json:"callers"`
	Lookups TLSFiles `json:"lookups"`
	Metrics TLSFiles `json:"metrics"`
	// Peers with a caFile takes only peers whose certificate it signed.
	Peers TLSFiles `json:"peers"`
	// Platform sets the client side towards the platform's service.
	Platform TLSFiles `json:"platform"`
	// PeerSecretFile holds the secret that peers and operators share.
	PeerSecretFile string `json:"peerSecretFile,omitempty"`
	// PeerSecretVariable is the environment variable that holds the secret
	// where there is no file.
	PeerSecretVariable string `json:"peerSecretVariable,omitempty"`
	// UnauthenticatedPeers takes any peer; for trials on one machine.
	UnauthenticatedPeers bool `json:"unauthenticatedPeers,omitempty"`
}

// TLSFiles names the files of a certificate, its key and an authority.
type TLSFiles struct {
	CertFile string `json:"certFile,omitempty"`
	KeyFile  string `json:"keyFile,omitempty"`
	CAFile   string `json:"caFile,omitempty"`
}

// Enabled reports whether a listener uses TLS.
func (f TLSFiles) Enabled() bool { return f.CertFile != "" }

// check names the first fault in the settings.
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
		return coder.Errorf(coder.SettingsInvalid, "security.peers.caFile", "needs certFile and keyFile")
	}
	if s.PeerSecretFile != "" && s.PeerSecretVariable != "" {
		return coder.Errorf(coder.SettingsInvalid, "security.peerSecretVariable", "set it or peerSecretFile, not both")
	}
	secret, err := s.PeerSecret()
	if err != nil {
		return err
	}
	if secret == nil && s.Peers.CAFile == "" && !s.UnauthenticatedPeers {
		return coder.Errorf(coder.SettingsInvalid, "security",
			"set peerSecretFile, peerSecretVariable, peers.caFile or unauthenticatedPeers, so that it is known who may change this instance")
	}
	return nil
}

// checkReadable opens each file that is named.
func (f TLSFiles) checkReadable(path string) error {
	named := []struct{ field, file string }{{"certFile", f.CertFile}, {"keyFile", f.KeyFile}, {"caFile", f.CAFile}}
	for _, n := range named {
		if n.file == "" {
			continue
		}
		opened, err := os.Open(n.file)
		if err != nil {
			return coder.Errorf(coder.SettingsInvalid, path+"."+n.field, "can't be read: %w; check the file's name and rights", err)
		}
		_ = opened.Close()
	}
	return nil
}

// PeerSecret reads the shared secret, or returns nil if none is set.
func (s Security) PeerSecret() ([]byte, error) {
	switch {
	case s.PeerSecretVariable != "":
		return longEnough("security.peerSecretVariable", []byte(os.Getenv(s.PeerSecretVariable)))
	case s.PeerSecretFile != "":
		data, err := os.ReadFile(s.PeerSecretFile)
		if err != nil {
			return nil, coder.Errorf(coder.SettingsInvalid, "security.peerSecretFile", "read file: %w", err)
		}
		return longEnough("security.peerSecretFile", data)
	}
	return nil, nil
}

// longEnough returns a secret without white space at its ends.
func longEnough(path string, data []byte) ([]byte, error) {
	secret := bytes.TrimSpace(data)
	if len(secret) < prover.MinSecretBytes {
		return nil, coder.Errorf(coder.SettingsInvalid, path, "%d bytes; a secret has at least %d", len(secret), prover.MinSecretBytes)
	}
	return secret, nil
}
