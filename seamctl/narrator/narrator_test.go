package narrator_test

import (
	"strings"
	"testing"

	"primroseseam.org/seamctl/narrator"
)

// log holds entries about the request "abc" by two instances, entries about the state of
// these instances, an entry about another request, and a line that is no entry.
const log = `
  0.1 edge-1 {"level":"info","ts":100.1,"msg":"configuration: seen","instance":"edge-1","version":3}
  0.2 edge-1 {"level":"info","ts":100.2,"msg":"configuration: seen","instance":"edge-1","version":4}
  0.3 edge-2 {"level":"warn","ts":100.3,"msg":"store: lost","instance":"edge-2","error":"down"}
  0.4 edge-1 {"level":"warn","ts":100.4,"msg":"request: refused","instance":"edge-1","request":"other","status":503}
not a line
  0.6 edge-2 {"level":"warn","ts":100.6,"msg":"request: refused","instance":"edge-2","request":"abc","status":503,"code":111}
  0.5 edge-1 {"level":"warn","ts":100.5,"msg":"request: attempt ended","instance":"edge-1","request":"abc","status":0,"error":"reset"}
  0.9 edge-1 {"level":"info","ts":100.9,"msg":"configuration: seen","instance":"edge-1","version":5}
`

func TestTimelineOfOneRequestAcrossInstances(t *testing.T) {
	c := narrator.New("abc")
	if err := c.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range c.Timeline() {
		got = append(got, e.Instance+" "+e.Message+" "+e.Fields)
	}
	want := []string{
		"edge-1 configuration: seen version=4",
		"edge-1 request: attempt ended error=reset status=0",
		"edge-2 store: lost error=down",
		"edge-2 request: refused code=111 status=503",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s", strings.Join(got, "\n"))
	}
}
