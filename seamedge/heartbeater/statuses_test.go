package heartbeater_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"primroseseam.org/seamedge/heartbeater"
)

// Guards against copies from what is no response: a status that is none, or says that another
// response follows, fails the call to another instance.
func TestStatusesThatAreNoneFailCallsOfInstances(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600", "999", "101", "20", "abc"} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" OK\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n"+`{"deltas":[]}`)
				time.Sleep(10 * time.Millisecond)
				_ = c.Close()
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if answer, err := heartbeater.FetchCopies(ctx, heartbeater.NewClient(), l.Addr().String(), heartbeater.CopyRequest{}); err == nil {
			t.Errorf("%s: got %+v", status, answer)
		}
		cancel()
		_ = l.Close()
	}
}
