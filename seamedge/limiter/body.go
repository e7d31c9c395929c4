package limiter

import (
	"io"
	"time"
)

// bodyReader reads the body of the request in progress for an account.
type bodyReader struct {
	account *Account
	body    io.Reader
}

// Body returns a reader of a request's body that records while a read waits for the client. The
// limits on clients that are slow to send a body apply to a Streaming connection only during
// such a read: without one, the connection waits for the endpoint.
func (a *Account) Body(body io.Reader) io.Reader { return bodyReader{a, body} }

// Read implements io.Reader.
func (r bodyReader) Read(p []byte) (int, error) {
	r.account.beginRead()
	defer r.account.endRead()
	return r.body.Read(p)
}

// beginRead records that a read of the body begins.
func (a *Account) beginRead() {
	now := a.budget.clock.Now()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.readingSince = now
}

// endRead records that a read of the body has ended.
func (a *Account) endRead() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.readingSince = time.Time{}
}
