package edger_test

import (
	"bufio"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// rewrite replaces a text in the settings file of an instance.
func (r *runningEdge) rewrite(old, next string) {
	data, err := os.ReadFile(r.path)
	if err != nil {
		r.t.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		r.t.Fatalf("%q is not in the settings", old)
	}
	if err := os.WriteFile(r.path, []byte(strings.Replace(string(data), old, next, 1)), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// Guards against LOST (review/8): a grace period that changes must bind a later stop, and one that
// has begun. With the grace before the change, the request would be cut.
func TestStopFollowsTheGracePeriodOfTheSettings(t *testing.T) {
	for name, c := range map[string]struct {
		// before is the grace period that is put in force before the stop, and during the one
		// that is written while the instance stops, if any.
		before, during string
		work           time.Duration
	}{
		"before the stop": {before: "10", work: 4 * time.Second},
		"during the stop": {before: "4", during: "10", work: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestEnv(t)
			r.timeout = 8
			r.endpoint("i-1", "s", func(http.ResponseWriter, *http.Request) { time.Sleep(c.work) })
			r.configure("key-1", "s")
			log := &logSink{}
			run := r.start("one", log)
			run.waitFor(5*time.Second, "ready", run.ready)
			run.rewrite(`"grace":2`, `"grace":`+c.before)
			run.waitFor(5*time.Second, "reload", func() bool {
				return log.contains(`"msg":"reload: field applied"`) && log.contains(`"field":"bounds.grace","before":2,"after":`+c.before)
			})
			conn := dialCaller(t, run)
			write(t, conn, strings.Replace(rawRequest("slow"), "X-Deadline-Ms: 3000", "X-Deadline-Ms: 8000", 1))
			run.waitFor(5*time.Second, "request at the endpoint", func() bool { return run.gauge("seam_edge_requests_open") > 0 })
			stopped, ended := time.Now(), make(chan time.Time, 1)
			go func() {
				<-run.done
				ended <- time.Now()
			}()
			run.stop()
			if c.during != "" {
				run.rewrite(`"grace":`+c.before, `"grace":`+c.during)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusOK {
				t.Errorf("status %d", resp.StatusCode)
			}
			_ = resp.Body.Close()
			// The process would end then, and cut what is under way.
			if took := (<-ended).Sub(stopped); took < c.work-time.Second {
				t.Errorf("the instance ended %v after the stop, before its request, which takes %v", took, c.work)
			}
		})
	}
}

// A change of a field that needs a restart must be named in the log, and not be applied.
func TestFieldsThatNeedARestartAreNamed(t *testing.T) {
	r := newTestEnv(t)
	r.endpoint("i-1", "s", nil)
	r.configure("key-1", "s")
	log := &logSink{}
	run := r.start("one", log)
	run.waitFor(5*time.Second, "ready", run.ready)
	run.rewrite(`"store":"`+r.address+`"`, `"store":"127.0.0.1:1"`)
	run.waitFor(5*time.Second, "reload", func() bool {
		return log.contains(`"msg":"reload: field needs a restart"`) && log.contains(`"field":"store"`)
	})
	r.configure("key-2", "s")
	run.waitFor(5*time.Second, "a change in the store of the start", func() bool {
		a := run.post("/x/", "key-2", "")
		return a.err == nil && a.status == http.StatusOK
	})
}
