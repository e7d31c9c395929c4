package prover

import (
	"crypto/hmac"
	"crypto/rand"
	"net/http"
	"strconv"

	"primroseseam.org/seam/coder"
)

// SignStream sets the proof headers of a request whose body is streamed. The proof covers
// the given data instead of the body, so only TLS protects the body against changes on
// the network.
func (p *Prover) SignStream(r *http.Request, data string) {
	r.Header.Set(headerTime, strconv.FormatInt(p.clock.Now().UnixMilli(), 10))
	r.Header.Set(headerNonce, rand.Text())
	r.Header.Set(headerProof, p.requestProof(r, r.URL.Host, []byte(data)))
}

// CheckStream verifies a request that was signed with SignStream and the same data.
// Errors carry [coder.PeerUnauthenticated].
func (p *Prover) CheckStream(r *http.Request, data string) error {
	return p.verify(r, []byte(data))
}

// SignAnswer adds a proof to the headers of the response to a streamed request r. This
// proof covers only the proof of the request, and shows that the responder has the
// secret. It doesn't cover the response's status or body.
func (p *Prover) SignAnswer(r *http.Request, answer http.Header) {
	answer.Set(headerAnswerProof, p.mac("stream", r.Header.Get(headerProof)))
}

// CheckAnswer verifies the headers of a response to the request r that was signed with
// SignAnswer. Errors carry [coder.PeerUnauthenticated].
func (p *Prover) CheckAnswer(r *http.Request, answer http.Header) error {
	expected := p.mac("stream", r.Header.Get(headerProof))
	if !hmac.Equal([]byte(expected), []byte(answer.Get(headerAnswerProof))) {
		return coder.Errorf(coder.PeerUnauthenticated, r.URL.Host, "response has no valid proof")
	}
	return nil
}
