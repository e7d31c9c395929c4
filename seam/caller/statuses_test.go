package caller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"primroseseam.org/seam/caller"
	"primroseseam.org/seam/coder"
	"primroseseam.org/standin/streamer"
)

// lookupBody returns the body of a lookup response with one instance.
func lookupBody(address string) string {
	return fmt.Sprintf(`{"instances":[{"id":"i","address":%q}],"ttlNanoseconds":60000000000}`, address)
}

// answerWithStatus starts a server whose responses have the status and body, and returns its address.
func answerWithStatus(t *testing.T, status, body string) string {
	l, err := streamer.ListenWithStatus(status, body)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// Guards against MIXED: a response of an instance whose status is invalid is no response.
func TestInvalidStatusesAreNoResponses(t *testing.T) {
	for _, status := range append([]string{"200"}, streamer.InvalidStatuses...) {
		instance := answerWithStatus(t, status, `"body"`)
		lookups := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, lookupBody(instance))
		}))
		t.Cleanup(lookups.Close)
		want := coder.OutcomeUnknown
		if status == "200" {
			want = coder.OK
		}
		client := caller.New([]string{lookups.URL}, caller.WithKey("k"))
		if _, err := client.Do(t.Context(), caller.Request{Method: http.MethodPost, Path: "/a"}); codeOf(err) != want {
			t.Errorf("%s: %v, want the code %v", status, err, want)
		}
	}
}

// Guards against MIXED: only the body of a lookup with the status 200 names instances.
func TestLookupsWithOtherStatusesFail(t *testing.T) {
	instance := answerWithStatus(t, "200", `"body"`)
	for _, status := range append([]string{"200", "299", "404", "503"}, streamer.InvalidStatuses...) {
		lookups := answerWithStatus(t, status, lookupBody(instance))
		want := coder.NoUpstream
		if status == "200" {
			want = coder.OK
		}
		client := caller.New([]string{"http://" + lookups}, caller.WithKey("k"))
		if _, err := client.Do(t.Context(), caller.Request{Method: http.MethodPost, Path: "/a"}); codeOf(err) != want {
			t.Errorf("%s: %v, want the code %v", status, err, want)
		}
	}
}
