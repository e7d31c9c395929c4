package placer

import (
	"fmt"
	"slices"
	"time"
)

// Unavailability counts the endpoints of a service that may not receive a request, by the
// reason that comes first in the order of the fields.
type Unavailability struct {
	Endpoints, Withdrawn, Elsewhere, Tried, Cold, Limited int
}

// String returns the counts for a log.
func (u Unavailability) String() string {
	return fmt.Sprintf("endpoints=%d withdrawn=%d elsewhere=%d tried=%d cold=%d limited=%d",
		u.Endpoints, u.Withdrawn, u.Elsewhere, u.Tried, u.Cold, u.Limited)
}

// Unavailable explains why no endpoint may receive a request. Withdrawn endpoints are leaving,
// pausing, draining or in an evacuated zone. Elsewhere are those in regions that may not
// serve the request.
func (b *Balancer) Unavailable(now time.Time, r Request) Unavailability {
	s := b.service(r.Service)
	u := Unavailability{Endpoints: len(s.endpoints)}
	for _, e := range s.endpoints {
		switch {
		case e.spec.Draining || e.withdrawal.active(now) || b.evacuatedZones[e.spec.Zone]:
			u.Withdrawn++
		case r.Restricted && !slices.Contains(r.Regions, e.region):
			u.Elsewhere++
		case slices.Contains(r.Tried, e.spec.ID):
			u.Tried++
		case e.isCold(now):
			u.Cold++
		case e.limit.named:
			u.Limited++
		}
	}
	return u
}
