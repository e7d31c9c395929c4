package exchanger_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"primroseseam.org/seamedge/exchanger"
)

// An endpoint that stops within the head of its response and closes has given no response,
// wherever it stops, and also on a connection that has carried others.
func TestResponseHeadsThatBreakOffAreErrors(t *testing.T) {
	heads := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 12\r\nX-Response-Signature: s\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Response-Signature: s\r\nConnection: close\r\n\r\n",
	}
	for name, format := range heads {
		for _, kept := range []bool{false, true} {
			whole := fmt.Sprintf(format, "cut")
			for length := range len(whole) {
				e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
					if id := r.Header.Get(idHeader); id != "cut" {
						_, _ = io.WriteString(c, okResponse(id, "whole"))
						return true
					}
					_, _ = io.WriteString(c, whole[:length])
					return false
				})
				x := exchanger.New()
				if kept {
					if a := x.Do(t.Context(), newCall(e, "first")); a.Err != nil {
						t.Fatal(a.Err)
					}
				}
				a := x.Do(t.Context(), newCall(e, "cut"))
				if a.Err == nil || !a.MaybeSent || a.ConnectionReused != kept {
					t.Errorf("%s, kept %t, head cut after %q: status %d, body %q, error %v", name, kept, whole[:length], a.Status, a.Body, a.Err)
				}
			}
		}
	}
}

// A length that is cut to a shorter number ends the body early. The bytes that follow are no
// part of a response, so the connection must not be used again.
func TestShortenedLengthClosesTheConnection(t *testing.T) {
	e := listen(t, func(c net.Conn, r *http.Request, n int) bool {
		response := okResponse(r.Header.Get(idHeader), "twelve bytes")
		if n == 1 {
			response = strings.Replace(response, "Content-Length: 12", "Content-Length: 1", 1)
		}
		_, _ = io.WriteString(c, response)
		return true
	})
	x := exchanger.New()
	x.Do(t.Context(), newCall(e, "first"))
	if a := x.Do(t.Context(), newCall(e, "second")); a.Err != nil || string(a.Body) != "twelve bytes" || a.ConnectionReused {
		t.Errorf("got %+v", a)
	}
}
