package replayer_test

import (
	"fmt"
	"testing"

	"primroseseam.org/seam/generator"
	"primroseseam.org/seam/replayer"
)

func TestLM(t *testing.T) {
	for _, d := range generator.Deployments() {
		for _, s := range []string{"listMorning", "rollingReplace", "instanceCrash"} {
			r := replayer.Replay(makeTrace(t, d, s))
			fmt.Printf("%s: %+v", r.Trace, r.Requests)
			for _, o := range r.Outcomes {
				if o.Outcome.Promise == "" {
					fmt.Printf(" %s/%s=%.4g(%v)", o.Outcome.Measure, o.Outcome.Service, o.Figure, o.Holds)
				} else if !o.Holds {
					fmt.Printf(" VIOL %s %v", o.Outcome.Promise, o.Figure)
				}
			}
			fmt.Println()
		}
	}
}
