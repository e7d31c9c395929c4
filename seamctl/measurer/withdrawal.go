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
	// Connections is the number of callers that send requests with the key. Each
	// caller uses one connection.
	Connections int
	// StoreDown makes the store unavailable right after it has accepted the
	// withdrawal.
	StoreDown bool
	// Work is how long the upstreams take for a request.
	Work time.Duration
	// Watch is how long the callers go on sending requests after the withdrawal.
	Watch time.Duration
}

// WithdrawalReport is the result of Withdrawal.
type WithdrawalReport struct {
	// Accepted counts the requests that were answered with status 200. Refused counts
	// the requests that were refused with status 401 (unauthorized).
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	// LastSent is the time from the withdrawal until the latest successful request was
	// sent. It is 0 if that request was sent before the withdrawal.
	// LastAnswered is the time from the withdrawal until the latest successful response
	// had arrived. It is 0 if that response arrived before the withdrawal.
	LastSent     time.Duration `json:"lastSentNanoseconds"`
	LastAnswered time.Duration `json:"lastAnsweredNanoseconds"`
	// Connections counts the connections on which a request succeeded and a later
	// request was refused.
	Connections int `json:"connections"`
	// Leaks lists the places in which the key's secret was found, although it must not
	// appear there: "upstream" for the requests that the upstreams received, "logs" and
	// "metrics".
	Leaks []string `json:"leaks,omitempty"`
}

// warmUp is the minimum time between the first requests and the withdrawal.
const warmUp = time.Second

// trafficStats holds the results of the requests on all connections. Fields whose names end
// in At are times in nanoseconds since the Unix epoch, or 0 if the event hasn't happened.
type trafficStats struct {
	withdrawnAt atomic.Int64
	// successfulRequests counts the requests that were answered with status 200.
	// refusedRequests counts the requests that were refused with status 401.
	successfulRequests atomic.Int64
	refusedRequests    atomic.Int64
	// connectionsWithLaterRefusal counts the connections on which a request succeeded
	// and a later request was refused. connectionsWithSuccess counts the connections on
	// which a request succeeded.
	connectionsWithLaterRefusal atomic.Int64
	connectionsWithSuccess      atomic.Int64
	// lastSuccessSentAt is when the latest successful request was sent.
	// lastSuccessReceivedAt is when the latest successful response had arrived.
	lastSuccessSentAt     atomic.Int64
	lastSuccessReceivedAt atomic.Int64
}

// Withdrawal starts a fleet, sends requests with an API key over many connections and
// withdraws the key while they are in use. It measures how long after the withdrawal
// requests with the key still succeed. It also looks for the key's secret in the upstreams'
// requests, the logs and the metrics, where the secret must not appear.
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
		Accepted: int(stats.successfulRequests.Load()), Refused: int(stats.refusedRequests.Load()), Connections: int(stats.connectionsWithLaterRefusal.Load()),
		LastSent: stats.sinceWithdrawal(&stats.lastSuccessSentAt), LastAnswered: stats.sinceWithdrawal(&stats.lastSuccessReceivedAt), Leaks: leaks,
	}, err
}

// issueKey writes the fleet's only key to the store and waits until all instances have it.
func (f *fleet) issueKey(ctx context.Context, record authenticator.Record) error {
	o, err := applier.New(f.store).IssueKey(ctx, record)
	if err != nil {
		return err
	}
	return f.await(ctx, f.daemons, func(s applier.InstanceStatus) bool { return s.Keys > 0 && o.Version > 0 })
}

// withdraw withdraws the key with the given digest like seamctl does: it writes the
// withdrawal to the store and then also sends it directly to all instances. It sets
// stats.withdrawnAt to the time when the store had accepted the withdrawal.
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

// leaks returns the names of the places in which the secret occurs. It searches the paths
// and headers of the requests that the upstreams received ("upstream"), the logs and the
// metrics.
func (f *fleet) leaks(ctx context.Context, secret string) ([]string, error) {
	var places []string
	if f.receivedRequests.contains(secret) {
		places = append(places, "upstream")
	}
	if f.logs.contains(secret) {
		places = append(places, "logs")
	}
	pages, err := f.metricsPages(ctx)
	if strings.Contains(pages, secret) {
		places = append(places, "metrics")
	}
	return places, err
}

// awaitAnswers sleeps for warmUp and then waits until a request has succeeded on every
// connection. If the upstreams take warmUp or longer for a request, it only sleeps, so that
// the key is withdrawn while the first requests are in progress. It returns an error if the
// wait after the sleep takes longer than readyTimeout.
func (t *trafficStats) awaitAnswers(ctx context.Context, plan WithdrawalPlan) error {
	time.Sleep(warmUp)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for plan.Work < warmUp && t.connectionsWithSuccess.Load() < int64(plan.Connections) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("not every connection has carried a response: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// sendRequests sends requests to the instance with the given address, one after the other
// over one connection, until ctx is done. It adds their results to t. Errors and statuses
// other than 200 and 401 are ignored.
func (t *trafficStats) sendRequests(ctx context.Context, address, secret string) {
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	hadSuccess, hadRefusal := false, false
	for n := 0; ctx.Err() == nil; n++ {
		sentAt := time.Now()
		status, err := get(ctx, client, fmt.Sprintf("http://%s/index/%d", address, n), secret)
		switch {
		case err != nil:
		case status == http.StatusOK:
			if !hadSuccess {
				t.connectionsWithSuccess.Add(1)
			}
			hadSuccess = true
			t.successfulRequests.Add(1)
			storeMax(&t.lastSuccessSentAt, sentAt.UnixNano())
			storeMax(&t.lastSuccessReceivedAt, time.Now().UnixNano())
		case status == http.StatusUnauthorized:
			t.refusedRequests.Add(1)
			if hadSuccess && !hadRefusal {
				hadRefusal = true
				t.connectionsWithLaterRefusal.Add(1)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// statusStale is the status that get returns, instead of the HTTP status, if the instance
// refused the request with the code KeyEvidenceStale: it has had no confirmation of its
// keys for longer than keyFreshness.
const statusStale = -1

// get sends a GET request with secret as the API key, reads the whole response and returns
// its HTTP status, or statusStale.
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

// storeMax sets value to n if n is greater than the current value.
func storeMax(value *atomic.Int64, n int64) {
	for {
		old := value.Load()
		if n <= old || value.CompareAndSwap(old, n) {
			return
		}
	}
}

// sinceWithdrawal returns the duration from the withdrawal until the time in value. It
// returns 0 if the time in value is before the withdrawal.
func (t *trafficStats) sinceWithdrawal(value *atomic.Int64) time.Duration {
	return max(0, time.Duration(value.Load()-t.withdrawnAt.Load()))
}
