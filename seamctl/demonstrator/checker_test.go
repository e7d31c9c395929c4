package demonstrator

import (
	"fmt"
	"testing"
	"time"

	"primroseseam.org/standin/responder"
)

// Requests that cross regions must count against the slots that the region shares and
// against the cap of the link.
func TestCheckerNoticesRequestsFromOtherRegions(t *testing.T) {
	shape, err := ShapeOf("lonestar")
	if err != nil {
		t.Fatal(err)
	}
	c := newChecker()
	c.regions = map[string]string{"west-1": "west", "east-2": "east"}
	c.sharedSlots["east"] = 2
	e := &endpoint{service: "lessons", region: "east", address: "10.0.0.1:9000"}
	at := time.Unix(0, 0)
	var ends []responder.ObservedRequest
	for n := range 4 {
		sender := "west-1"
		if n == 3 {
			sender = "east-2"
		}
		request := responder.ObservedRequest{At: at, RequestID: fmt.Sprintf("%s-%d-1", sender, n+40), Path: "/t/", Ran: true}
		c.recordUpstreamRequest(e, request)
		request.Ended, request.Bytes = true, int64(shape.linkBurst())
		ends = append(ends, request)
	}
	if c.requestsOfKnownOrigin != 4 || c.regionOverloads != 1 {
		t.Errorf("%d requests of known origin, %d overloads; want 4 and 1", c.requestsOfKnownOrigin, c.regionOverloads)
	}
	for _, request := range ends {
		c.recordUpstreamRequest(e, request)
	}
	if over := c.countOverCap(shape); over != 2 {
		t.Errorf("%d transfers over the cap, want 2", over)
	}
}
