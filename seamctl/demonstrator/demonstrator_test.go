package demonstrator_test

import (
	"context"
	"testing"
	"time"

	"primroseseam.org/seamctl/demonstrator"
)

func TestQuietRunKeepsItsPromises(t *testing.T) {
	for _, deployment := range []string{"nathibandh", "lonestar"} {
		report, err := demonstrator.Run(context.Background(),
			demonstrator.WithDeployment(deployment), demonstrator.WithDuration(2*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		if !report.Holds() {
			t.Errorf("%s: %+v", deployment, report.Promises)
		}
	}
}
