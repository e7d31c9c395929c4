package responder_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"primroseseam.org/standin/disruptor"
	"primroseseam.org/standin/responder"
)

// startUpstream serves an upstream on a listener that can inject faults, and returns the
// listener and the upstream's URL.
func startUpstream(t *testing.T, r *responder.FakeUpstream) (*disruptor.Listener, string) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := disruptor.NewListener(inner)
	server := &http.Server{Handler: r, ConnContext: responder.ConnContext, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, "http://" + inner.Addr().String()
}

// sendRequest sends a request and returns the decoded body and the header of its response.
// It returns an error if the response takes longer than limit.
func sendRequest(client *http.Client, url string, limit time.Duration) (responder.Answer, http.Header, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var a responder.Answer
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/x", strings.NewReader("body"))
	if err != nil {
		return a, nil, err
	}
	req.Header.Set(responder.HeaderRequestID, "one")
	resp, err := client.Do(req)
	if err != nil {
		return a, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return a, resp.Header, json.NewDecoder(resp.Body).Decode(&a)
}

// After SilenceOpen, requests on a connection that was open must get no response, and
// requests on a new connection must work.
func TestOpenConnectionsStaySilentWhileNewOnesWork(t *testing.T) {
	l, url := startUpstream(t, responder.New())
	keptClient := &http.Client{Transport: &http.Transport{}}
	if _, _, err := sendRequest(keptClient, url, time.Second); err != nil {
		t.Fatal(err)
	}
	if n := l.SilenceOpen(); n != 1 {
		t.Fatalf("%d connections were silenced", n)
	}
	if _, _, err := sendRequest(keptClient, url, 200*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("a silent connection answered: %v", err)
	}
	if _, _, err := sendRequest(&http.Client{Transport: &http.Transport{}}, url, time.Second); err != nil {
		t.Fatalf("a new connection failed: %v", err)
	}
}

// With one request in progress, each kind of load report must give its own value: 1 is the
// actual load, and 3 the number of slots. The observer must be called once when a request
// arrives and once when it has ended.
func TestEachLoadReportAndBothObserverCalls(t *testing.T) {
	for report, want := range map[responder.Report]string{
		responder.ReportHonest: "1", responder.ReportZero: "0", responder.ReportFull: "3", responder.ReportLagging: "0",
	} {
		var arrivals, ends atomic.Int64
		_, url := startUpstream(t, responder.New(responder.WithSlots(3), responder.WithReport(report),
			responder.WithObserver(func(s responder.ObservedRequest) {
				if s.Ended {
					ends.Add(1)
				} else {
					arrivals.Add(1)
				}
			})))
		_, header, err := sendRequest(http.DefaultClient, url, time.Second)
		if err != nil || header.Get(responder.HeaderLoad) != want {
			t.Errorf("%v: reported %q, %v", report, header.Get(responder.HeaderLoad), err)
		}
		time.Sleep(20 * time.Millisecond)
		if arrivals.Load() != 1 || ends.Load() != 1 {
			t.Errorf("%v: seen %d, ended %d", report, arrivals.Load(), ends.Load())
		}
	}
}

func TestColdUpstreamIsSlowerUntilItIsWarm(t *testing.T) {
	work := 20 * time.Millisecond
	_, url := startUpstream(t, responder.New(responder.WithWork(work), responder.WithColdStart(10, 300*time.Millisecond)))
	requestTime := func() time.Duration {
		started := time.Now()
		if _, _, err := sendRequest(http.DefaultClient, url, time.Second); err != nil {
			t.Fatal(err)
		}
		return time.Since(started)
	}
	if cold := requestTime(); cold < 5*work {
		t.Errorf("cold: %v", cold)
	}
	time.Sleep(300 * time.Millisecond)
	if warm := requestTime(); warm > 5*work {
		t.Errorf("warm: %v", warm)
	}
}
