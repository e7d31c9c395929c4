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

// pour writes a beginning and then a piece again and again until the other side
// closes, and returns the number of bytes written.
func pour(c net.Conn, begin, piece string) int {
	total, _ := io.WriteString(c, begin)
	for {
		n, err := io.WriteString(c, piece)
		total += n
		if err != nil {
			return total
		}
	}
}

func TestBytesWithoutEndAreNotReadWithoutEnd(t *testing.T) {
	const most = 8 << 20
	block := strings.Repeat("a", 4<<10)
	for name, bytes := range map[string][2]string{
		"no line":                    {"", block},
		"status line":                {"HTTP/1.1 200 ", block},
		"a header field":             {"HTTP/1.1 200 OK\r\nName: ", block},
		"header fields":              {"HTTP/1.1 200 OK\r\n", "Name: " + block + "\r\n"},
		"answers before the answer":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body of another's answer":   {"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\n\r\n", block},
		"chunks of another's answer": {"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + block + "\r\n"},
		"a chunk's extension":        {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", block},
		"fields after the chunks":    {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: " + block + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			poured := make(chan int, 1)
			e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
				poured <- pour(c, bytes[0], bytes[1])
				return false
			})
			c := call(e, "1")
			c.Deadline = time.Now().Add(5 * time.Second)
			begin := time.Now()
			a := exchanger.New().Do(t.Context(), c)
			if took := time.Since(begin); a.Err == nil || took > time.Second {
				t.Errorf("after %v: %v", took, a.Err)
			}
			if n := <-poured; n > most {
				t.Errorf("%d bytes were taken, %d allowed", n, most)
			}
		})
	}
}

func TestBytesAfterAnAnswerCloseItsConnection(t *testing.T) {
	poured := make(chan int, 1)
	e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, ok("1", "whole"))
		time.Sleep(20 * time.Millisecond)
		poured <- pour(c, "", strings.Repeat("a", 4<<10))
		return false
	})
	x := exchanger.New()
	if a := x.Do(t.Context(), call(e, "1")); a.Err != nil {
		t.Fatal(a.Err)
	}
	time.Sleep(50 * time.Millisecond)
	x.Prune()
	select {
	case <-poured:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection stays open")
	}
}
