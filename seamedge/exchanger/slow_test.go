package exchanger_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"primroseseam.org/seamedge/exchanger"
)

// Guards against LOST (review/6): a request at which an endpoint works must not be cut because the
// endpoint reads its body slowly. The pause is longer than the connection's TCP_USER_TIMEOUT of 2 s.
func TestSlowlyReadRequestsAreNotCut(t *testing.T) {
	const pause, size = 3 * time.Second, 1 << 20
	body := strings.Repeat("a", size)
	streamed := func(call exchanger.Call, length int64) exchanger.Call {
		call.BodyRemainder, call.BodyLength = strings.NewReader(body), length
		return call
	}
	for name, with := range map[string]func(exchanger.Call) exchanger.Call{
		"in one piece": func(call exchanger.Call) exchanger.Call {
			call.Body, call.BodyLength = []byte(body), size
			return call
		},
		"streamed":  func(call exchanger.Call) exchanger.Call { return streamed(call, size) },
		"in chunks": func(call exchanger.Call) exchanger.Call { return streamed(call, -1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
				_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
				time.Sleep(pause)
				n, err := io.Copy(io.Discard, r.Body)
				if n != size || err != nil {
					t.Errorf("%d of %d bytes arrived: %v", n, size, err)
				}
				_, _ = io.WriteString(c, okResponse("1", "whole"))
				return true
			})
			call := with(newCall(e, "1"))
			call.Method, call.NonIdempotent, call.Deadline = http.MethodPost, true, time.Now().Add(10*time.Second)
			x := exchanger.New()
			if a := x.Do(t.Context(), call); a.Err != nil || string(a.Body) != "whole" {
				t.Errorf("got %+v", a)
			}
			if _, idle := x.Connections(); idle != 1 {
				t.Errorf("%d idle connections, want the one that was used", idle)
			}
		})
	}
}
