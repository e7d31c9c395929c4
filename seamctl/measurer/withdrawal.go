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

// WithdrawalPlan says what is measured.
type WithdrawalPlan struct {
	Instances   int
	Connections int
	// StoreDown makes the store fail right after it accepted the withdrawal.
	StoreDown bool
	// Work is how long the upstreams take for a request.
	Work time.Duration
	// Watch is how long requests go on after the withdrawal.
	Watch time.Duration
}

// WithdrawalReport is what the callers and the upstreams saw.
type WithdrawalReport struct {
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	// LastSent is when the last request that was answered had been sent, and
	// LastAnswered when the last answer was whole, both after the withdrawal.
	LastSent     time.Duration `json:"lastSentNanoseconds"`
	LastAnswered time.Duration `json:"lastAnsweredNanoseconds"`
	// Connections counts connections that carried both answers and refusals.
	Connections int `json:"connections"`
	// Leaks lists where the key's secret was found.
	Leaks []string `json:"leaks,omitempty"`
}

// warmUp is how long connections are used before the withdrawal.
const warmUp = time.Second

// traffic is what the connections saw.
type traffic struct {
	withdrawn    atomic.Int64
	accepted     atomic.Int64
	refused      atomic.Int64
	kept         atomic.Int64
	lastSent     atomic.Int64
	lastAnswered atomic.Int64
}

// Withdrawal withdraws a key while open connections use it.
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
	if err := f.issue(ctx, record); err != nil {
		return WithdrawalReport{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var seen traffic
	var callers sync.WaitGroup
	for i := range plan.Connections {
		callers.Go(func() { seen.use(ctx, f.daemons[i%len(f.daemons)].CallerAddress(), secret) })
	}
	time.Sleep(warmUp)
	if err := f.withdraw(ctx, plan, record.Digest, &seen); err != nil {
		return WithdrawalReport{}, err
	}
	time.Sleep(plan.Watch)
	leaks, err := f.leaks(ctx, secret)
	cancel()
	callers.Wait()
	return WithdrawalReport{
		Accepted: int(seen.accepted.Load()), Refused: int(seen.refused.Load()), Connections: int(seen.kept.Load()),
		LastSent: seen.after(&seen.lastSent), LastAnswered: seen.after(&seen.lastAnswered), Leaks: leaks,
	}, err
}

func (f *fleet) issue(ctx context.Context, record authenticator.Record) error {
	o, err := applier.New(f.store).IssueKey(ctx, record)
	if err != nil {
		return err
	}
	return f.await(ctx, f.daemons, func(s applier.InstanceStatus) bool { return s.Keys > 0 && o.Version > 0 })
}

// withdraw does what the operators' client does.
func (f *fleet) withdraw(ctx context.Context, plan WithdrawalPlan, digest authenticator.Digest, seen *traffic) error {
	a, err := f.awaiter(ctx)
	if err != nil {
		return err
	}
	o, err := applier.New(f.store).WithdrawKey(ctx, digest)
	if err != nil {
		return err
	}
	if plan.StoreDown {
		f.keeper.SetDown(true)
	}
	seen.withdrawn.Store(time.Now().UnixNano())
	a.Offer(ctx, o)
	return nil
}

// leaks looks for the secret at the upstreams, in logs and in metrics.
func (f *fleet) leaks(ctx context.Context, secret string) ([]string, error) {
	var found []string
	if f.seen.contains(secret) {
		found = append(found, "upstream")
	}
	if f.logs.contains(secret) {
		found = append(found, "logs")
	}
	pages, err := f.metrics(ctx)
	if strings.Contains(pages, secret) {
		found = append(found, "metrics")
	}
	return found, err
}

// use sends requests over one connection until ctx ends.
func (t *traffic) use(ctx context.Context, address, secret string) {
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
			answered = true
			t.accepted.Add(1)
			storeMax(&t.lastSent, sent.UnixNano())
			storeMax(&t.lastAnswered, time.Now().UnixNano())
		case status == http.StatusUnauthorized:
			t.refused.Add(1)
			if answered && !refused {
				refused = true
				t.kept.Add(1)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// statusStale stands for a refusal by an instance that doesn't trust its keys.
const statusStale = -1

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

func storeMax(value *atomic.Int64, n int64) {
	for {
		old := value.Load()
		if n <= old || value.CompareAndSwap(old, n) {
			return
		}
	}
}

func (t *traffic) after(value *atomic.Int64) time.Duration {
	return max(0, time.Duration(value.Load()-t.withdrawn.Load()))
}
