package measurer_test

import (
	"context"
	"os"
	"testing"
	"time"

	"primroseseam.org/seamctl/measurer"
)

// changes returns the number of changes: all of them if SEAM_WHOLE is set.
func changes() int {
	if os.Getenv("SEAM_WHOLE") != "" {
		return 200
	}
	return 15
}

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
				Instances: 10, Changes: changes(), SilenceWatchers: c.silence, History: c.history,
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
				t.Errorf("last request %v after the withdrawal", report.LastAnswered)
			}
			if report.Refused < 50 || c.work < time.Second && report.Connections != 50 {
				t.Errorf("%d refusals; %d of 50 connections saw both an answer and a refusal", report.Refused, report.Connections)
			}
			if len(report.Leaks) > 0 {
				t.Errorf("the secret was found in %v", report.Leaks)
			}
		})
	}
}

func TestAnInstanceThatIsCutOffStopsTrustingItsKeys(t *testing.T) {
	t.Parallel()
	const freshness = 5 * time.Second
	report, err := measurer.CutOff(context.Background(), freshness)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", report)
	if report.StaleAfter <= 0 || report.StaleAfter > freshness+time.Second || report.ServedAfterwards != 0 {
		t.Errorf("refused after %v, then served %d", report.StaleAfter, report.ServedAfterwards)
	}
	if report.OthersRefused != 0 || report.OthersServed == 0 {
		t.Errorf("the others served %d and refused %d", report.OthersServed, report.OthersRefused)
	}
}
