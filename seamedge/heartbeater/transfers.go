package heartbeater

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// bulkBytes is the size of the objects from which a response is large.
	bulkBytes = 128 << 10
	// maxTransfers is the number of large responses that an instance sends at a time. Encoding
	// one can take a slow machine a quarter of a second, so whoever waits for many others
	// gets it sooner from an instance that has it by then.
	maxTransfers = 2
	// transferTimeout limits how long a large response takes. The caller gives up earlier.
	transferTimeout = 2 * time.Second
)

// ErrBusy means that an instance refused a call because it sends large responses to others.
var ErrBusy = errors.New("instance sends copies to others")

// transfer is a place among the large responses that are sent at a time, for the call of one handler.
type transfer struct {
	places  chan struct{}
	control *http.ResponseController
	begun   bool
}

// transferKey is the key of a call's *transfer in its context.
type transferKey struct{}

// limitTransfers returns a handler whose calls may use [beginTransfer]. A place is taken until the response
// is written.
func limitTransfers(handler http.Handler) http.Handler {
	places := make(chan struct{}, maxTransfers)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := &transfer{places: places, control: http.NewResponseController(w)}
		defer t.end()
		handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), transferKey{}, t)))
	})
}

// beginTransfer reports whether the call with this context may send a large response.
func beginTransfer(ctx context.Context) bool {
	t, ok := ctx.Value(transferKey{}).(*transfer)
	if !ok {
		return false
	}
	select {
	case t.places <- struct{}{}:
	default:
		return false
	}
	t.begun = true
	// Whoever stands still must not hold a place.
	_ = t.control.SetWriteDeadline(time.Now().Add(transferTimeout))
	return true
}

// end frees the place, if the call has one.
func (t *transfer) end() {
	if !t.begun {
		return
	}
	_ = t.control.Flush()
	_ = t.control.SetWriteDeadline(time.Time{})
	<-t.places
}
