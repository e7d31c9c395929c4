package measurer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seamd/forwarder"
)

// WithdrawalPlan configures a measurement with Withdrawal.
type WithdrawalPlan struct {
	Instances int
	// Connections is the number of callers, each with one connection.
	Connections int
	// StoreDown makes the store unavailable right after it accepted the withdrawal.
	StoreDown bool
	// Work is how long the upstreams take for a request.
	Work time.Duration
	// Watch is how long requests are sent after the withdrawal.
	Watch time.Duration
}

// WithdrawalReport is the result of Withdrawal.
type WithdrawalReport struct {
	// Accepted counts the successful requests, and Refused those that were refused as
	// unauthorized.
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	// LastSent is the time from the withdrawal until the sending of the latest
	// request that was successful, and LastAnswered that until the end of the latest
	// successful response. Both are 0 if there was none after the withdrawal.
	LastSent     time.Duration `json:"lastSentNanoseconds"`
	LastAnswered time.Duration `json:"lastAnsweredNanoseconds"`
	// Connections counts the connections on which requests first succeeded and were
	// refused later.
	Connections int `json:"connections"`
	// Leaks lists the places in which the key's secret was found: the requests at the
	// upstreams, the logs or the metrics. It must not appear in any.
	Leaks []string `json:"leaks,omitempty"`
}

// warmUp is the minimum time for which connections are used before the withdrawal.
const warmUp = time.Second

// trafficStats holds the results of the requests on all connections. Times are in
// nanoseconds since the Unix epoch.
type trafficStats struct {
	withdrawnAt atomic.Int64
	// accepted counts the successful requests, and refused those that were refused
	// as unauthorized.
	accepted atomic.Int64
	refused  atomic.Int64
	// answeredThenRefused counts the connections on which requests first succeeded
	// and were refused later, and answered those on which one succeeded.
	answeredThenRefused atomic.Int64
	answered            atomic.Int64
	// lastSent is when the latest successful request was sent, and lastAnswered when
	// the latest successful response had arrived.
	lastSent     atomic.Int64
	lastAnswered atomic.Int64
}

// Withdrawal withdraws a key that is in use on open connections, and measures how long
// requests with it still succeed. It also looks for the key's secret in places where it
// must not appear.
func Withdrawal(ctx context.Context, plan WithdrawalPlan) (WithdrawalReport, error) {
	f, err := startFleet(ctx, plan.Instances, plan.Work)
	if err != nil {
		return WithdrawalReport{}, err
	}
	defer f.stop()
	secret, record, err := authenticator.Issue(team, time.Now())
	if err != nil {
		return WithdrawalReport{}, err
	}
	if err := f.issueKey(ctx, record); err != nil {
		return WithdrawalReport{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stats trafficStats
	var callers sync.WaitGroup
	for i := range plan.Connections {
		callers.Go(func() { stats.sendRequests(ctx, f.daemons[i%len(f.daemons)].CallerAddress(), secret) })
	}
	if err := stats.awaitAnswers(ctx, plan); err != nil {
		return WithdrawalReport{}, err
	}
	if err := f.withdraw(ctx, plan, record.Digest, &stats); err != nil {
		return WithdrawalReport{}, err
	}
	time.Sleep(plan.Watch)
	leaks, err := f.leaks(ctx, secret)
	cancel()
	callers.Wait()
	return WithdrawalReport{
		Accepted: int(stats.accepted.Load()), Refused: int(stats.refused.Load()), Connections: int(stats.answeredThenRefused.Load()),
		LastSent: stats.sinceWithdrawal(&stats.lastSent), LastAnswered: stats.sinceWithdrawal(&stats.lastAnswered), Leaks: leaks,
	}, err
}

// issueKey writes a key to the store and waits until all instances have keys.
func (f *fleet) issueKey(ctx context.Context, record authenticator.Record) error {
	o, err := applier.New(f.store).IssueKey(ctx, record)
	if err != nil {
		return err
	}
	return f.await(ctx, f.daemons, func(s applier.InstanceStatus) bool { return s.Keys > 0 && o.Version > 0 })
}

// withdraw withdraws a key like seamctl does: it writes the withdrawal to the store and
// also sends it directly to all instances.
func (f *fleet) withdraw(ctx context.Context, plan WithdrawalPlan, digest authenticator.Digest, stats *trafficStats) error {
	a, err := f.newAwaiter(ctx)
	if err != nil {
		return err
	}
	o, err := applier.New(f.store).WithdrawKey(ctx, digest)
	if err != nil {
		return err
	}
	if plan.StoreDown {
		f.storeServer.SetDown(true)
	}
	stats.withdrawnAt.Store(time.Now().UnixNano())
	a.Offer(ctx, o)
	return nil
}

// leaks looks for the secret in the paths and headers of the requests at the upstreams,
// in the logs and in the metrics, and returns the names of the places that contain it.
func (f *fleet) leaks(ctx context.Context, secret string) ([]string, error) {
	var found []string
	if f.received.contains(secret) {
		found = append(found, "upstream")
	}
	if f.logs.contains(secret) {
		found = append(found, "logs")
	}
	pages, err := f.metricsPages(ctx)
	if strings.Contains(pages, secret) {
		found = append(found, "metrics")
	}
	return found, err
}

// awaitAnswers waits for warmUp and until a request has succeeded on every connection. If
// the upstreams take warmUp or longer for a request, it doesn't wait for successes, so
// that the key is withdrawn during the first requests.
func (t *trafficStats) awaitAnswers(ctx context.Context, plan WithdrawalPlan) error {
	time.Sleep(warmUp)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for plan.Work < warmUp && t.answered.Load() < int64(plan.Connections) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("not every connection has carried a response: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// sendRequests sends requests over one connection until ctx is done.
func (t *trafficStats) sendRequests(ctx context.Context, address, secret string) {
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	answered, refused := false, false
	for n := 0; ctx.Err() == nil; n++ {
		sent := time.Now()
		status, err := get(ctx, client, fmt.Sprintf("http://%s/index/%d", address, n), secret)
		switch {
		case err != nil:
		case status == http.StatusOK:
			if !answered {
				t.answered.Add(1)
			}
			answered = true
			t.accepted.Add(1)
			storeMax(&t.lastSent, sent.UnixNano())
			storeMax(&t.lastAnswered, time.Now().UnixNano())
		case status == http.StatusUnauthorized:
			t.refused.Add(1)
			if answered && !refused {
				refused = true
				t.answeredThenRefused.Add(1)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// statusStale is the status that get returns, instead of the HTTP status, for a refusal
// with KeyEvidenceStale.
const statusStale = -1

// get sends a GET request with a key, reads the response and returns its status.
func get(ctx context.Context, client *http.Client, target, secret string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if code, _ := strconv.Atoi(resp.Header.Get(forwarder.HeaderCode)); coder.Code(code) == coder.KeyEvidenceStale &&
		resp.Header.Get(forwarder.HeaderNotRun) == "true" {
		return statusStale, err
	}
	return resp.StatusCode, err
}

// storeMax sets the value to n if n is greater.
func storeMax(value *atomic.Int64, n int64) {
	for {
		old := value.Load()
		if n <= old || value.CompareAndSwap(old, n) {
			return
		}
	}
}

// sinceWithdrawal returns the time from the withdrawal until the time in value, or 0 if
// that was earlier.
func (t *trafficStats) sinceWithdrawal(value *atomic.Int64) time.Duration {
	return max(0, time.Duration(value.Load()-t.withdrawnAt.Load()))
}
