package conductor_test

import (
	"strings"
	"time"
)

// Requests on bulkPath have a low rank. They run for bulkFactor times as long as others, and have
// as much more time.
const (
	bulkPath   = "/bulk/"
	bulkFactor = 4
)

// work is what an endpoint does for a request: the object that it handles, and how long it runs
// as a multiple of the usual time.
type work struct {
	object uint32
	factor time.Duration
}

func factorOf(path string) time.Duration {
	if strings.HasPrefix(path, bulkPath) {
		return bulkFactor
	}
	return 1
}

// patience returns how long callers wait for a response on a path.
func (sim *simulation) patience(path string) time.Duration {
	return 2 * sim.timings.timeout * factorOf(path)
}

// arrival records when a request reached an endpoint, the region of the instance that
// sent it, the region of the endpoint, and the request's team.
type arrival struct {
	at       time.Time
	from, in string
	team     string
}

// arrivalsOf returns the arrivals of a team's requests.
func (sim *simulation) arrivalsOf(team string) []arrival {
	var arrivals []arrival
	for _, a := range sim.arrivals {
		if a.team == team {
			arrivals = append(arrivals, a)
		}
	}
	return arrivals
}

// maxRegionShift considers the requests sent by instances of one region, and the split
// of these requests over the regions of the endpoints. It returns the largest change
// of that split between two consecutive windows, as a fraction of the requests.
// Windows with fewer than minRequests requests are skipped.
func maxRegionShift(arrivals []arrival, from string, window time.Duration, minRequests int) float64 {
	counts := map[int64]map[string]int{}
	var first, last int64
	for _, r := range arrivals {
		if r.from != from {
			continue
		}
		n := r.at.UnixNano() / int64(window)
		if counts[n] == nil {
			counts[n] = map[string]int{}
		}
		counts[n][r.in]++
		counts[n][""]++
		if first == 0 {
			first = n
		}
		last = n
	}
	maxShift := 0.0
	for n := first + 1; n < last; n++ {
		previous, current := counts[n-1], counts[n]
		if previous[""] < minRequests || current[""] < minRequests {
			continue
		}
		shift := 0.0
		for _, in := range []string{region(0), region(1), region(2)} {
			d := float64(current[in])/float64(current[""]) - float64(previous[in])/float64(previous[""])
			shift += max(d, 0)
		}
		maxShift = max(maxShift, shift)
	}
	return maxShift
}
