package router_test

import (
	"testing"

	"primroseseam.org/seam/router"
)

// A team's priority goes before its route's, also if it is 0; a team without one has the route's.
func TestTeamPriorityGoesBeforeRoutes(t *testing.T) {
	highest := 0
	route := &router.Route{Priority: 2}
	for _, c := range []struct {
		team *router.Team
		want int
	}{{nil, 2}, {&router.Team{}, 2}, {&router.Team{Priority: &highest}, 0}} {
		if got := router.PriorityOf(route, c.team); got != c.want {
			t.Errorf("team %+v: rank %d, want %d", c.team, got, c.want)
		}
	}
}
