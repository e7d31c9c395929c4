package daemon_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/certifier"
	peerv1 "primroseseam.org/seam/gen/peer/v1"
	"primroseseam.org/seam/gen/peer/v1/peerv1connect"
	"primroseseam.org/seam/prover"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/loader"
)

const sharedSecret = "a secret of the fleet, long enough for it"

// authority is a certificate authority that keeps its files in a temporary folder. The
// certificates that it signs are stored in the same folder.
type authority struct {
	*testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{T: t, dir: t.TempDir()}
	a.cert, a.key = a.sign("authority", 1, nil)
	return a
}

// sign creates a certificate for the loopback address and writes it and its private key
// to files in a's folder. If signer is nil, the certificate is self-signed.
func (a *authority) sign(name string, serial int64, signer *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, BasicConstraintsValid: true, IsCA: signer == nil,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, parentKey := template, key
	if signer != nil {
		parent, parentKey = signer.cert, signer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		a.Fatal(err)
	}
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.Fatal(err)
	}
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "PRIVATE KEY", keyBytes)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.Fatal(err)
	}
	return cert, key
}

func (a *authority) write(name, kind string, data []byte) {
	if err := os.WriteFile(a.path(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		a.Fatal(err)
	}
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

func (a *authority) files(name string) loader.TLSFiles {
	return loader.TLSFiles{CertFile: a.path(name + ".pem"), KeyFile: a.path(name + ".key"), CAFile: a.path("authority.pem")}
}

// client returns an HTTP client that uses the certificate with the given name, or none if
// the name is empty.
func (a *authority) client(name string) *http.Client {
	f := certifier.Files{CA: a.path("authority.pem")}
	if name != "" {
		f.Cert, f.Key = a.path(name+".pem"), a.path(name+".key")
	}
	c, err := certifier.New(f)
	if err != nil {
		a.Fatal(err)
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: c.ClientConfig(), DisableKeepAlives: true}}
}

// startDaemon runs a daemon until the test ends. Its store answers every call with status
// 404.
func startDaemon(t *testing.T, security loader.Security) *daemon.Daemon {
	t.Helper()
	store := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(store.Close)
	const loopback = "127.0.0.1:0"
	d, err := daemon.New(loader.Settings{
		Instance: loader.Instance{ID: "a", Region: "west", FailureDomain: "west-a"},
		Listen:   loader.Listen{Callers: loopback, Lookups: loopback, Peers: loopback, Metrics: loopback},
		Platform: loader.Platform{Address: store.URL}, Security: security,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

// offerKey creates a key and offers it to the instance at base, as a peer does that has a
// newer object than the instance. It returns an error if the call is refused.
func offerKey(client *http.Client, base string) error {
	_, record, err := authenticator.Issue("intruders", time.Now())
	if err != nil {
		return err
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	object := &peerv1.StoredObject{Kind: string(storer.KindKey), Name: record.Digest.String(), Version: 1 << 40, Value: value}
	_, err = peerv1connect.NewRelayServiceClient(client, base).
		Offer(context.Background(), connect.NewRequest(&peerv1.OfferRequest{Objects: []*peerv1.StoredObject{object}}))
	return err
}

// awaitKeys waits up to 100 ms until the wanted number of keys is in force. It returns
// the number of keys that are in force then.
func awaitKeys(d *daemon.Daemon, want int) int {
	for range 50 {
		if d.Status("").Keys == want {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	return d.Status("").Keys
}

// TestPeerWithoutSecretChangesNothing checks that an instance accepts objects only from
// clients that prove that they have the shared secret. It also sends a recorded valid
// request again, unchanged and changed, which must be refused.
func TestPeerWithoutSecretChangesNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(path, []byte(sharedSecret+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	d := startDaemon(t, loader.Security{PeerSecretFile: path})
	base := "http://" + d.PeerAddress()
	transport := &recordingTransport{}
	wrongProver := prover.New([]byte(strings.Repeat("x", prover.MinSecretBytes)))
	rightProver := prover.New([]byte(sharedSecret))
	for name, client := range map[string]*http.Client{
		"none":  {},
		"wrong": {Transport: wrongProver.Transport(http.DefaultTransport)},
	} {
		if err := offerKey(client, base); err == nil {
			t.Errorf("%s: the offer was accepted", name)
		}
	}
	if n := awaitKeys(d, 1); n != 0 {
		t.Fatalf("%d keys in force", n)
	}
	if err := offerKey(&http.Client{Transport: rightProver.Transport(transport)}, base); err != nil {
		t.Fatal(err)
	}
	if n := awaitKeys(d, 1); n != 1 {
		t.Fatalf("%d keys in force", n)
	}
	if status := transport.replay(t, nil); status != http.StatusUnauthorized {
		t.Errorf("a replayed request got status %d", status)
	}
	transport.request.Header.Set("Seam-Proof-Nonce", "another")
	if status := transport.replay(t, nil); status != http.StatusUnauthorized {
		t.Errorf("a request with another nonce got status %d", status)
	}
	if status := transport.replay(t, make([]byte, 5<<20)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("a request that is too long got status %d", status)
	}
	if status := transport.replay(t, []byte("{}")); status != http.StatusUnauthorized {
		t.Errorf("a request with another body got status %d", status)
	}
}

// recordingTransport is an HTTP transport that sends requests and records the last one.
type recordingTransport struct {
	request *http.Request
	body    []byte
}

// RoundTrip implements http.RoundTripper.
func (r *recordingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	r.request, r.body = req.Clone(context.Background()), body
	req.Body = io.NopCloser(bytes.NewReader(body))
	return http.DefaultTransport.RoundTrip(req)
}

// replay sends the recorded request again and returns the status of the response. If body
// isn't nil, it replaces the recorded body.
func (r *recordingTransport) replay(t *testing.T, body []byte) int {
	t.Helper()
	if body == nil {
		body = r.body
	}
	again := r.request.Clone(context.Background())
	again.Body = io.NopCloser(bytes.NewReader(body))
	again.ContentLength = int64(len(body))
	resp, err := http.DefaultTransport.RoundTrip(again)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestPeerWithoutCertificateChangesNothing checks that an instance accepts objects only
// from clients with a certificate that the instance's own CA signed. Clients without a
// certificate, with one of another CA, or without TLS must be refused.
func TestPeerWithoutCertificateChangesNothing(t *testing.T) {
	a := newAuthority(t)
	a.sign("instance", 2, a)
	a.sign("operator", 3, a)
	otherAuthority := newAuthority(t)
	otherAuthority.sign("operator", 4, otherAuthority)
	otherAuthority.write("authority.pem", "CERTIFICATE", a.cert.Raw)
	d := startDaemon(t, loader.Security{Peers: a.files("instance")})
	base := "https://" + d.PeerAddress()
	for name, client := range map[string]*http.Client{
		"none": a.client(""), "stranger": otherAuthority.client("operator"), "plain": {},
	} {
		if err := offerKey(client, base); err == nil {
			t.Errorf("%s: the offer was accepted", name)
		}
	}
	if n := awaitKeys(d, 1); n != 0 {
		t.Fatalf("%d keys in force", n)
	}
	if err := offerKey(a.client("operator"), base); err != nil {
		t.Fatal(err)
	}
	if n := awaitKeys(d, 1); n != 1 {
		t.Fatalf("%d keys in force", n)
	}
}

// TestCertificateIsRenewedWithoutARestart checks that a listener uses a changed
// certificate file within about a second, but keeps the current certificate if the
// changed file is damaged. It also checks that TLS 1.1 is refused.
func TestCertificateIsRenewedWithoutARestart(t *testing.T) {
	a := newAuthority(t)
	a.sign("instance", 2, a)
	files := a.files("instance")
	files.CAFile = ""
	d := startDaemon(t, loader.Security{Callers: files, Lookups: files, Metrics: files, UnauthenticatedPeers: true})
	serial := func(address string) int64 {
		pool := x509.NewCertPool()
		pool.AddCert(a.cert)
		conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: pool})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	for _, address := range []string{d.CallerAddress(), d.LookupAddress(), d.MetricsAddress()} {
		if n := serial(address); n != 2 {
			t.Fatalf("%s serves certificate %d", address, n)
		}
	}
	if err := os.WriteFile(a.path("instance.pem"), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1100 * time.Millisecond)
	if n := serial(d.CallerAddress()); n != 2 {
		t.Fatalf("a damaged file gave certificate %d", n)
	}
	a.sign("instance", 5, a)
	time.Sleep(1100 * time.Millisecond)
	if n := serial(d.CallerAddress()); n != 5 {
		t.Fatalf("serves certificate %d after the renewal", n)
	}
	if conn, err := tls.Dial("tcp", d.CallerAddress(), &tls.Config{MaxVersion: tls.VersionTLS11, InsecureSkipVerify: true}); err == nil {
		_ = conn.Close()
		t.Error("TLS 1.1 was accepted")
	}
}
