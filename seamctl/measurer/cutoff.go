package measurer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"primroseseam.org/seam/authenticator"
)

// cutOffWatch is how long requests go on past the freshness.
const cutOffWatch = 3 * time.Second

// CutOffReport is what callers saw of an instance that is cut off.
type CutOffReport struct {
	// StaleAfter is when it first refused because it doesn't trust its keys,
	// after the cut; 0 if it never did.
	StaleAfter time.Duration `json:"staleAfterNanoseconds"`
	// ServedAfterwards counts what it still served after that.
	ServedAfterwards int `json:"servedAfterwards"`
	OthersServed     int `json:"othersServed"`
	OthersRefused    int `json:"othersRefused"`
}

// CutOff cuts an instance off from the store and all instances from each other,
// and sends requests to all.
func CutOff(ctx context.Context, freshness time.Duration) (CutOffReport, error) {
	f, err := startFleetWith(ctx, len(regions), &fleet{freshness: freshness})
	if err != nil {
		return CutOffReport{}, err
	}
	defer f.stop()
	secret, record, err := authenticator.Issue(team, time.Now())
	if err != nil {
		return CutOffReport{}, err
	}
	if err := f.issue(ctx, record); err != nil {
		return CutOffReport{}, err
	}
	for _, g := range f.gates {
		g.silence()
	}
	f.storeGates[0].silence()
	return f.observeCut(ctx, secret, freshness)
}

// observeCut sends requests to every instance in turn.
func (f *fleet) observeCut(ctx context.Context, secret string, freshness time.Duration) (CutOffReport, error) {
	var report CutOffReport
	started := time.Now()
	for n := 0; time.Since(started) < freshness+cutOffWatch; n++ {
		for i, d := range f.daemons {
			status, err := get(ctx, http.DefaultClient, fmt.Sprintf("http://%s/index/%d", d.CallerAddress(), n), secret)
			if err != nil {
				return report, err
			}
			report.note(i == 0, status, time.Since(started))
		}
		time.Sleep(statusPoll)
	}
	return report, nil
}

func (r *CutOffReport) note(cut bool, status int, after time.Duration) {
	switch {
	case cut && status == statusStale && r.StaleAfter == 0:
		r.StaleAfter = after
	case cut && status == http.StatusOK && r.StaleAfter > 0:
		r.ServedAfterwards++
	case cut:
	case status == http.StatusOK:
		r.OthersServed++
	default:
		r.OthersRefused++
	}
}
