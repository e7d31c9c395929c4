package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/conductor"
)

const (
	// explainTimeout limits the time for an instance's answer, and maxExplanationBytes its size.
	explainTimeout      = 5 * time.Second
	maxExplanationBytes = 1 << 20
	// shownCandidates is the number of endpoints of each service in the table.
	shownCandidates = 5
)

// questionFlags holds the flags of the explain request command.
type questionFlags struct {
	from, host, path, team, keyVariable, object string
	timeLeft                                    time.Duration
}

func explainRequestCommand() *cobra.Command {
	var f questionFlags
	var format outputFormat
	cmd := &cobra.Command{
		Use:   "request",
		Short: "Show where a request would go now and why, without sending it",
		Long: "Asks an instance of seamedge, at its metrics address, what it would do with a request.\n" +
			"Nothing is sent to endpoints, and no rate or budget is spent.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := format.check(); err != nil {
				return err
			}
			x, err := f.ask(cmd.Context())
			if err != nil {
				return err
			}
			return format.print(cmd.OutOrStdout(), questionTable(x), x)
		},
	}
	cmd.Flags().StringVar(&f.from, "from", "", "metrics address of the instance, HOST:PORT (required)")
	cmd.Flags().StringVar(&f.host, "host", "", "host of the request (required)")
	cmd.Flags().StringVar(&f.path, "path", "/", "path of the request")
	cmd.Flags().StringVar(&f.team, "team", "", "team whose request it is, in place of a key")
	cmd.Flags().StringVar(&f.keyVariable, "key-variable", "", "environment variable that holds the caller's key")
	cmd.Flags().StringVar(&f.object, "object", "", "affinity key of the request")
	cmd.Flags().DurationVar(&f.timeLeft, "time-left", 0, "how long the caller waits")
	format.addFlag(cmd)
	return cmd
}

// check returns an error if the flags describe no request.
func (f questionFlags) check() error {
	if err := checkFrom(f.from); err != nil {
		return err
	}
	if f.host == "" {
		return coder.Errorf(coder.ArgumentInvalid, "--host", "must be set")
	}
	if !strings.HasPrefix(f.path, "/") {
		return coder.Errorf(coder.ArgumentInvalid, "--path", "%q does not begin with a slash", f.path)
	}
	if f.keyVariable != "" && os.Getenv(f.keyVariable) == "" {
		return coder.Errorf(coder.ArgumentInvalid, "--key-variable", "the variable %s is not set", f.keyVariable)
	}
	return nil
}

// ask returns the instance's explanation.
func (f questionFlags) ask(ctx context.Context) (conductor.Explanation, error) {
	var x conductor.Explanation
	if err := f.check(); err != nil {
		return x, err
	}
	query := url.Values{"host": {f.host}, "path": {f.path}}
	if f.team != "" {
		query.Set("team", f.team)
	}
	if f.object != "" {
		query.Set("object", f.object)
	}
	if f.timeLeft > 0 {
		query.Set("timeLeftMs", strconv.FormatInt(f.timeLeft.Milliseconds(), 10))
	}
	header := http.Header{}
	if f.keyVariable != "" {
		header.Set("Authorization", "Bearer "+os.Getenv(f.keyVariable))
	}
	err := askEdge(ctx, f.from, "/v1/explain?"+query.Encode(), header, &x)
	return x, err
}

// askEdge asks an instance of seamedge at its metrics address and decodes the answer into result.
func askEdge(ctx context.Context, from, uri string, header http.Header, result any) error {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+uri, nil)
	if err != nil {
		return coder.Errorf(coder.ArgumentInvalid, "--from", "%v", err)
	}
	if header != nil {
		request.Header = header
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("ask %s: %w", from, err)
	}
	defer func() { _ = response.Body.Close() }()
	body := io.LimitReader(response.Body, maxExplanationBytes)
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(body)
		return fmt.Errorf("ask %s: status %d: %s", from, response.StatusCode, strings.TrimSpace(string(reason)))
	}
	if err := json.NewDecoder(body).Decode(result); err != nil {
		return fmt.Errorf("ask %s: not an explanation, is it the metrics address of seamedge? %w", from, err)
	}
	return nil
}

// checkFrom returns an error if a metrics address isn't one.
func checkFrom(from string) error {
	if _, _, err := net.SplitHostPort(from); err != nil {
		return coder.Errorf(coder.ArgumentInvalid, "--from", "%q is not HOST:PORT", from)
	}
	return nil
}

// questionTable shows an explanation: what happens, on what that rests, and the best endpoints
// of each service with the terms of their cost that aren't 0.
func questionTable(x conductor.Explanation) table {
	t := table{columns: []string{"WHAT", "VALUE", "WHY"}}
	refusal := ""
	if x.Code != "" {
		refusal = fmt.Sprintf("%s, status %d", x.Code, x.Status)
	}
	t.add("outcome", x.Outcome, refusal)
	t.add("instance", x.Instance, fmt.Sprintf("configuration %d, loads up to %d ms old", x.ConfigVersion, x.HeartbeatAgeMs))
	t.add("route", x.Route, "")
	if x.TeamRoom != nil {
		t.add("team", x.Team, fmt.Sprintf("%.1f tokens of %g left, rate %g, admitted with probability %.2f", x.TeamRoom.Tokens, x.TeamRoom.Burst, x.TeamRoom.Rate, min(x.TeamRoom.Probability, 1)))
	} else {
		t.add("team", x.Team, "")
	}
	if len(x.Regions) > 0 {
		t.add("regions", strings.Join(x.Regions, ", "), "home regions")
	}
	t.addParts(x.RegionParts)
	for _, s := range x.Services {
		why := "answers too late"
		if s.Admitted {
			why = "admitted"
		}
		if s.Unavailable != "" {
			why = s.Unavailable
		}
		t.add("service", s.Service, fmt.Sprintf("weight %d: %s", s.Weight, why))
		for _, c := range s.Candidates[:min(len(s.Candidates), shownCandidates)] {
			t.add("endpoint", c.Endpoint, fmt.Sprintf("%s, %d of %d slots, warm %t, %d ms expected, cost %s", c.Zone, c.InFlight, c.Slots, c.Warm, c.ExpectedMs, costText(c)))
		}
	}
	return t
}

// addParts adds the plan of regions, if there is one.
func (t *table) addParts(parts map[string]float64) {
	var texts []string
	for region, part := range parts {
		texts = append(texts, fmt.Sprintf("%s %.2f", region, part))
	}
	if sort.Strings(texts); len(texts) > 0 {
		t.add("region parts", strings.Join(texts, ", "), "requests beyond a region's part may go to another one")
	}
}

// costText returns the total of a cost and its terms that aren't 0, in seconds.
func costText(c conductor.CandidateExplanation) string {
	terms := []struct {
		name  string
		value float64
	}{
		{"latency", c.Cost.Latency},
		{"locality", c.Cost.Locality},
		{"connection", c.Cost.Connection},
		{"failures", c.Cost.Failures},
		{"eviction", c.Cost.Eviction},
		{"placement", c.Cost.Placement},
		{"bound", c.Cost.Bound},
		{"ejected", c.Cost.Ejected},
		{"untried", c.Cost.Untried},
		{"copies", c.Cost.Copies},
	}
	var texts []string
	for _, t := range terms {
		if t.value != 0 {
			texts = append(texts, fmt.Sprintf("%s %.3f", t.name, t.value))
		}
	}
	return fmt.Sprintf("%.3f (%s)", c.Total, strings.Join(texts, ", "))
}
