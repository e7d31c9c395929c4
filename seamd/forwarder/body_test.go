package forwarder_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"primroseseam.org/seamd/forwarder"
)

// A chunked body whose connection breaks off must not be passed on as a whole one.
func TestCutRequestBodiesAreRefused(t *testing.T) {
	head := "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, chunks := range map[string]string{"in a chunk": "a\r\n12345", "between chunks": "5\r\n12345\r\n", "before the last line": "5\r\n12345\r\n0\r\n"} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + chunks)))
		if err != nil {
			t.Fatal(err)
		}
		if body, err := forwarder.ReadRequestBody(r.Body, r.ContentLength); err == nil {
			t.Errorf("%s: accepted with %d bytes", name, body.Length())
		}
	}
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + "5\r\n12345\r\n0\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	body, err := forwarder.ReadRequestBody(r.Body, r.ContentLength)
	if err != nil || body.Length() != 5 {
		t.Fatalf("a whole body: %d bytes, %v", body.Length(), err)
	}
	if data, err := io.ReadAll(body.Reader()); err != nil || string(data) != "12345" {
		t.Errorf("got %q, %v", data, err)
	}
}
