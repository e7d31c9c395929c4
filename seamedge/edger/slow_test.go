package edger_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// heapMB returns the size of the live heap of this process in megabytes.
func heapMB() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc >> 20)
}

// Guards against running out of memory: endpoints answer without end to many callers at once,
// who read nothing. The buffers must stay within the instance's memory, and the callers must be
// given up. The endpoints and the callers of the test are in the same process.
func TestEndlessAnswersToSlowCallersStayWithinMemory(t *testing.T) {
	const callers, endpoints = 400, 100
	r := newTestEnv(t)
	r.timeout, r.idleTimeout, r.memoryMB, r.descriptors = 6, 2, 64, 1024
	block := []byte(strings.Repeat("a", 4<<10))
	for n := range endpoints {
		r.endpoint(fmt.Sprint("i-", n), "s", func(w http.ResponseWriter, q *http.Request) {
			for q.Context().Err() == nil {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		})
	}
	r.configure("key-1", "s")
	run := r.start("one", &logSink{})
	run.waitFor(5*time.Second, "ready", run.ready)
	before := heapMB()
	for n := range callers {
		write(t, dialCaller(t, run), rawRequest(fmt.Sprint("slow-", n)))
	}
	// The instance may refuse a part of them for lack of room.
	run.waitFor(5*time.Second, "the requests", func() bool {
		sent := run.gauge("seam_edge_endpoint_connections_total")
		return sent >= callers/2 && sent+run.gauge(`seam_edge_clients_cut_off_total{socket="callers",reason="NoRoom"}`) >= callers*9/10
	})
	time.Sleep(500 * time.Millisecond)
	if used := heapMB() - before; used > r.memoryMB {
		t.Errorf("%d MB used for %d callers, the instance has %d", used, callers, r.memoryMB)
	}
	run.waitFor(10*time.Second, "the end of the requests", func() bool { return run.gauge("seam_edge_requests_open") == 0 })
}

// A caller that reads slowly but goes on must get its whole answer, and the next one on the same
// connection.
func TestSlowCallersGetWholeAnswers(t *testing.T) {
	const size, parts, pause = 12 << 20, 24, 150 * time.Millisecond
	r := newTestEnv(t)
	r.timeout, r.idleTimeout = 20, 1.5
	body := []byte(strings.Repeat("a", size))
	r.endpoint("i-1", "s", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })
	r.configure("key-1", "s")
	run := r.start("one", &logSink{})
	run.waitFor(5*time.Second, "ready", run.ready)
	conn := dialCaller(t, run)
	_ = conn.SetReadBuffer(64 << 10)
	reader := bufio.NewReader(conn)
	for n := range 2 {
		write(t, conn, strings.Replace(rawRequest(fmt.Sprint("slow-", n)), "X-Deadline-Ms: 3000", "X-Deadline-Ms: 20000", 1))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		got := 0
		for part := make([]byte, size/parts); err == nil; {
			var n int
			n, err = io.ReadFull(resp.Body, part)
			got += n
			time.Sleep(pause)
		}
		if got != size {
			t.Errorf("answer %d: got %d of %d bytes, %v", n, got, size, err)
		}
	}
}

// Guards against a budget that shrinks: the buffers of each request must be given back, however
// the request ends.
func TestBuffersAreGivenBack(t *testing.T) {
	body := strings.Repeat("a", 200<<10)
	r := newTestEnv(t)
	r.endpoint("i-1", "s", func(w http.ResponseWriter, q *http.Request) {
		sent, _ := io.ReadAll(q.Body)
		_, _ = w.Write(sent)
	})
	r.configure("key-1", "s")
	run := r.start("one", &logSink{})
	run.waitFor(5*time.Second, "ready", run.ready)
	held := func() int { return run.gauge(`seam_edge_client_bytes{socket="callers"}`) }
	head := strings.Replace(rawRequest("gone"), "GET", "POST", 1)
	for name, send := range map[string]func(){
		"answered": func() {
			if a := run.post("/x/", "key-1", body); a.status != http.StatusOK || len(a.body) != len(body) {
				t.Errorf("got status %d and %d bytes, %v", a.status, len(a.body), a.err)
			}
		},
		"refused": func() { run.post("/x/", "unknown", body) },
		"caller gone before the request was sent": func() {
			conn := dialCaller(t, run)
			write(t, conn, strings.TrimSuffix(head, "\r\n")+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))+body)
			_ = conn.CloseWrite()
			_, _ = io.ReadAll(conn)
		},
		"caller gone amid the request": func() {
			conn := dialCaller(t, run)
			write(t, conn, strings.TrimSuffix(head, "\r\n")+fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(body))+body)
			_ = conn.Close()
		},
	} {
		for range 10 {
			send()
		}
		// The test's client keeps a few idle connections.
		run.waitFor(3*time.Second, "the buffers, "+name, func() bool { return held() < 64<<10 })
	}
}
