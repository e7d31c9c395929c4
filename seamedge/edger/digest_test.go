package edger

import (
	"net/http"
	"testing"

	"primroseseam.org/seamedge/bufferer"
)

// Requests are alike only if method, host, URI, key and body are the same, wherever one of
// them ends and the next begins. The id and other headers make no difference.
func TestDigestsTellUnlikeRequestsApart(t *testing.T) {
	digest := func(method, host, uri, key, body string, length int64) uint64 {
		r := &http.Request{Method: method, Host: host, RequestURI: uri, Header: http.Header{"X-Request-Id": {t.Name()}}}
		return digestOf(&callerRequest{request: r, body: bufferer.Start{Data: []byte(body)}, bodyLength: length}, key)
	}
	first := digest("GET", "h", "/x/1", "key", "body", 4)
	if again := digest("GET", "h", "/x/1", "key", "body", 4); again != first || first == 0 {
		t.Errorf("digests %x and %x of the same request", first, again)
	}
	for name, other := range map[string]uint64{
		"method": digest("PUT", "h", "/x/1", "key", "body", 4), "host": digest("GET", "g", "/x/1", "key", "body", 4),
		"URI": digest("GET", "h", "/x/2", "key", "body", 4), "key": digest("GET", "h", "/x/1", "kez", "body", 4),
		"body": digest("GET", "h", "/x/1", "key", "bodz", 4), "length": digest("GET", "h", "/x/1", "key", "body", 5),
		"end of host": digest("GET", "h/", "x/1", "key", "body", 4), "end of URI": digest("GET", "h", "/x/1k", "ey", "body", 4),
	} {
		if other == first {
			t.Errorf("another %s gives the same digest", name)
		}
	}
}

func BenchmarkDigest(b *testing.B) {
	r := &callerRequest{request: &http.Request{Method: "GET", Host: "pages.example", RequestURI: "/lessons/10/5e4b"}}
	for b.Loop() {
		digestOf(r, "tnfzs989anu6wsjnbanf")
	}
}
