package measurer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"primroseseam.org/seam/authenticator"
)

// cutOffMargin is how long requests are sent after the keys have become stale.
const cutOffMargin = 3 * time.Second

// CutOffReport is what callers saw of an instance without a connection to the store and
// its peers, and of the other instances.
type CutOffReport struct {
	// StaleAfter is the time from the cut until the instance first refused a request
	// because it can't confirm its keys; 0 if it never did.
	StaleAfter time.Duration `json:"staleAfterNanoseconds"`
	// ServedAfterwards counts the requests that it served after that.
	ServedAfterwards int `json:"servedAfterwards"`
	// OthersServed and OthersRefused count the requests that the other instances
	// served and those that they didn't serve.
	OthersServed  int `json:"othersServed"`
	OthersRefused int `json:"othersRefused"`
}

// CutOff disconnects one instance from the store and all instances from each other, and
// sends requests to all of them until keyFreshness and a margin have passed.
func CutOff(ctx context.Context, keyFreshness time.Duration) (CutOffReport, error) {
	f, err := startFleetWith(ctx, len(regions), &fleet{keyFreshness: keyFreshness})
	if err != nil {
		return CutOffReport{}, err
	}
	defer f.stop()
	secret, record, err := authenticator.Issue(team, time.Now())
	if err != nil {
		return CutOffReport{}, err
	}
	if err := f.issueKey(ctx, record); err != nil {
		return CutOffReport{}, err
	}
	for _, peerProxy := range f.peerProxies {
		peerProxy.silence()
	}
	f.storeProxies[0].silence()
	return f.observeCutOff(ctx, secret, keyFreshness)
}

// observeCutOff sends requests to every instance in turn and counts the results. The
// first instance is the one that is disconnected from the store.
func (f *fleet) observeCutOff(ctx context.Context, secret string, keyFreshness time.Duration) (CutOffReport, error) {
	var report CutOffReport
	started := time.Now()
	for n := 0; time.Since(started) < keyFreshness+cutOffMargin; n++ {
		for i, d := range f.daemons {
			status, err := get(ctx, http.DefaultClient, fmt.Sprintf("http://%s/index/%d", d.CallerAddress(), n), secret)
			if err != nil {
				return report, err
			}
			report.record(i == 0, status, time.Since(started))
		}
		time.Sleep(pollInterval)
	}
	return report, nil
}

// record adds the result of one request. cutOff says whether it was sent to the
// disconnected instance, and after is the time since the cut.
func (r *CutOffReport) record(cutOff bool, status int, after time.Duration) {
	switch {
	case cutOff && status == statusStale && r.StaleAfter == 0:
		r.StaleAfter = after
	case cutOff && status == http.StatusOK && r.StaleAfter > 0:
		r.ServedAfterwards++
	case cutOff:
	case status == http.StatusOK:
		r.OthersServed++
	default:
		r.OthersRefused++
	}
}
