package measurer_test

import (
	"context"
	"os"
	"testing"
	"time"

	"primroseseam.org/seamctl/measurer"
)

// changeCount returns the number of configuration changes to measure. It is larger if the
// environment variable SEAM_WHOLE is set.
func changeCount() int {
	if os.Getenv("SEAM_WHOLE") != "" {
		return 200
	}
	return 15
}

// TestChangesAreInForceEverywhereInSeconds measures the time until a configuration change is
// in force at all instances that their peers can reach. It checks that the 99th percentile
// of this time stays below a limit, and that no instance goes back to an older
// configuration. In the case watchesCompacted, the store keeps so few changes that watches
// have to start again. In the case halfOfTheWatchersSilent, one watcher in every region
// can't be reached by its peers.
func TestChangesAreInForceEverywhereInSeconds(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence bool
		history int
		limit   time.Duration
	}{
		{"storeUp", false, 0, 2 * time.Second},
		{"watchesCompacted", false, 1, 2 * time.Second},
		{"halfOfTheWatchersSilent", true, 0, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			report, err := measurer.Spread(context.Background(), measurer.SpreadPlan{
				Instances: 10, Changes: changeCount(), SilenceWatchers: c.silence, History: c.history,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", report)
			if report.P99 >= c.limit || report.Reverted != 0 {
				t.Errorf("p99 %v (limit %v), %d reverted", report.P99, c.limit, report.Reverted)
			}
		})
	}
}

// TestWithdrawnKeyDiesOnOpenConnections checks that no request with a withdrawn key gets a
// successful response later than a limit after the withdrawal, on connections that carried
// the key before. In the case storeDownAfterwards, the store fails right after the
// withdrawal. In the case midStream, requests are in progress at the withdrawal and would
// run for longer than the limit. The key's secret must not reach upstreams, logs or metrics.
func TestWithdrawnKeyDiesOnOpenConnections(t *testing.T) {
	for _, c := range []struct {
		name  string
		down  bool
		work  time.Duration
		limit time.Duration
	}{
		{"storeUp", false, 5 * time.Millisecond, 3 * time.Second},
		{"storeDownAfterwards", true, 5 * time.Millisecond, 5 * time.Second},
		{"midStream", false, 6 * time.Second, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			report, err := measurer.Withdrawal(context.Background(), measurer.WithdrawalPlan{
				Instances: 10, Connections: 50, StoreDown: c.down, Work: c.work, Watch: max(c.work, c.limit) + time.Second,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", report)
			if report.LastAnswered >= c.limit {
				t.Errorf("last successful response %v after the withdrawal", report.LastAnswered)
			}
			if report.Refused < 50 || c.work < time.Second && report.Connections != 50 {
				t.Errorf("%d refusals; %d of 50 connections had a successful response and then a refusal", report.Refused, report.Connections)
			}
			if len(report.Leaks) > 0 {
				t.Errorf("the secret was found in %v", report.Leaks)
			}
		})
	}
}

// TestAnInstanceThatIsCutOffStopsTrustingItsKeys checks that an instance that can reach
// neither the store nor its peers refuses all requests once keyFreshness has passed, since
// the key may have been withdrawn in the meantime without notice to the instance. The
// instances that can still reach the store must go on serving requests.
func TestAnInstanceThatIsCutOffStopsTrustingItsKeys(t *testing.T) {
	t.Parallel()
	const freshness = 5 * time.Second
	report, err := measurer.CutOff(context.Background(), freshness)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", report)
	if report.StaleAfter <= 0 || report.StaleAfter > freshness+time.Second || report.ServedAfterwards != 0 {
		t.Errorf("first refused after %v; served %d requests after that", report.StaleAfter, report.ServedAfterwards)
	}
	if report.OthersRefused != 0 || report.OthersServed == 0 {
		t.Errorf("the other instances served %d requests and refused %d", report.OthersServed, report.OthersRefused)
	}
}
