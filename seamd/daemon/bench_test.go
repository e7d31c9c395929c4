package daemon_test

import (
	"bytes"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"primroseseam.org/standin/responder"
)

// BenchmarkHop measures the latency of a request through the daemon and of the same
// request sent directly to the upstream. Both kinds of requests use keep-alive
// connections and alternate.
func BenchmarkHop(b *testing.B) {
	env := newTestEnv(b, responder.New(responder.WithSlots(1000)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	body := strings.Repeat("x", 512)
	var directLatencies, daemonLatencies []time.Duration
	measure := func(address string) time.Duration {
		started := time.Now()
		resp, err := exchange(client, "http://"+address+"/lessons/1", env.apiKey, strings.NewReader(body))
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp, err)
		}
		return time.Since(started)
	}
	for b.Loop() {
		directLatencies = append(directLatencies, measure(env.upstream))
		daemonLatencies = append(daemonLatencies, measure(env.daemon.CallerAddress()))
	}
	slices.Sort(directLatencies)
	slices.Sort(daemonLatencies)
	for _, q := range []struct {
		name string
		part float64
	}{{"p50", 0.50}, {"p99", 0.99}} {
		d, t := quantile(directLatencies, q.part), quantile(daemonLatencies, q.part)
		b.ReportMetric(float64(d.Microseconds()), q.name+"-direct-µs")
		b.ReportMetric(float64(t.Microseconds()), q.name+"-daemon-µs")
		b.ReportMetric(float64(t)/float64(d), q.name+"-ratio")
	}
}

// quantile returns the value at a quantile of sorted durations. part is from 0 to 1.
func quantile(sorted []time.Duration, part float64) time.Duration {
	return sorted[int(part*float64(len(sorted)-1))]
}

// BenchmarkOpenConnection measures the daemon's memory per open connection of a caller.
// The callers run in the same process, so they are plain sockets without an HTTP client,
// which take little memory.
func BenchmarkOpenConnection(b *testing.B) {
	env := newTestEnv(b, responder.New(responder.WithSlots(1000)))
	const connections = 2000
	request := "POST /lessons/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + env.apiKey + "\r\nContent-Length: 0\r\n\r\n"
	for b.Loop() {
		before := heapAndStacks()
		conns := make([]net.Conn, connections)
		for i := range conns {
			conns[i] = openConnection(b, env.daemon.CallerAddress(), request)
		}
		b.ReportMetric(float64(heapAndStacks()-before)/connections, "B/conn")
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// openConnection opens a connection, sends a request on it and reads the answer.
func openConnection(b *testing.B, address, request string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := c.Write([]byte(request)); err != nil {
		b.Fatal(err)
	}
	answer := make([]byte, 4096)
	if n, err := c.Read(answer); err != nil || !bytes.HasPrefix(answer[:n], []byte("HTTP/1.1 200")) {
		b.Fatal(err, string(answer[:n]))
	}
	return c
}

// heapAndStacks returns the bytes of heap and stacks in use after a garbage collection.
func heapAndStacks() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
