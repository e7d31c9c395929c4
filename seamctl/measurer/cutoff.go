package measurer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"primroseseam.org/seam/authenticator"
)

// cutOffMargin is how long CutOff goes on sending requests after keyFreshness has passed.
const cutOffMargin = 3 * time.Second

// CutOffReport is the result of CutOff. One instance can reach neither the store nor its
// peers; the report calls it the disconnected instance. The other instances can't reach
// their peers, but can reach the store.
type CutOffReport struct {
	// StaleAfter is the time from the disconnection until the disconnected instance
	// first refused a request because it could no longer confirm that the key is
	// valid. It is 0 if the instance never did so.
	StaleAfter time.Duration `json:"staleAfterNanoseconds"`
	// ServedAfterwards counts the requests that the disconnected instance served after
	// it had first refused one in that way.
	ServedAfterwards int `json:"servedAfterwards"`
	// OthersServed counts the requests that the other instances answered with status
	// 200. OthersRefused counts the requests that they answered in any other way.
	OthersServed  int `json:"othersServed"`
	OthersRefused int `json:"othersRefused"`
}

// CutOff starts a fleet with one instance in each region. It disconnects all instances from
// each other and the first instance also from the store. It then sends requests to all
// instances until keyFreshness and cutOffMargin have passed, and returns their results.
// keyFreshness is a setting of the configuration: for how long an instance may accept keys
// without confirming them with the store or its peers.
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

// observeCutOff sends requests to all instances in turn, for keyFreshness plus
// cutOffMargin, and returns the counts of the results. The instance with index 0 is the
// one that CutOff disconnected from the store. A request without a response ends the
// measurement with an error.
func (f *fleet) observeCutOff(ctx context.Context, secret string, keyFreshness time.Duration) (CutOffReport, error) {
	var report CutOffReport
	startedAt := time.Now()
	for n := 0; time.Since(startedAt) < keyFreshness+cutOffMargin; n++ {
		for i, d := range f.daemons {
			status, err := get(ctx, http.DefaultClient, fmt.Sprintf("http://%s/index/%d", d.CallerAddress(), n), secret)
			if err != nil {
				return report, err
			}
			report.record(i == 0, status, time.Since(startedAt))
		}
		time.Sleep(pollInterval)
	}
	return report, nil
}

// record adds the result of one request to the report. isDisconnected means that the
// request was sent to the disconnected instance. status is the return value of get.
// sinceCut is the time from the disconnection until the response.
func (r *CutOffReport) record(isDisconnected bool, status int, sinceCut time.Duration) {
	switch {
	case isDisconnected && status == statusStale && r.StaleAfter == 0:
		r.StaleAfter = sinceCut
	case isDisconnected && status == http.StatusOK && r.StaleAfter > 0:
		r.ServedAfterwards++
	case isDisconnected:
	case status == http.StatusOK:
		r.OthersServed++
	default:
		r.OthersRefused++
	}
}
