package prover

import (
	"crypto/hmac"
	"crypto/rand"
	"net/http"
	"strconv"

	"primroseseam.org/seam/coder"
)

// SignStream proves a request whose body is streamed. The proof covers the
// method, host, path and what, not the body: who must keep others on the wire
// from changing bodies uses TLS.
func (p *Prover) SignStream(r *http.Request, what string) {
	r.Header.Set(headerTime, strconv.FormatInt(p.clock.Now().UnixMilli(), 10))
	r.Header.Set(headerNonce, rand.Text())
	r.Header.Set(headerProof, p.requestProof(r, r.URL.Host, []byte(what)))
}

// CheckStream checks a proof of SignStream. Errors carry PeerUnauthenticated.
func (p *Prover) CheckStream(r *http.Request, what string) error {
	return p.check(r, []byte(what))
}

// SignAnswer proves that the answer comes from one who has the secret.
func (p *Prover) SignAnswer(r *http.Request, answer http.Header) {
	answer.Set(headerAnswerProof, p.code("stream", r.Header.Get(headerProof)))
}

// CheckAnswer checks a proof of SignAnswer.
func (p *Prover) CheckAnswer(r *http.Request, answer http.Header) error {
	expected := p.code("stream", r.Header.Get(headerProof))
	if !hmac.Equal([]byte(expected), []byte(answer.Get(headerAnswerProof))) {
		return coder.Errorf(coder.PeerUnauthenticated, r.URL.Host, "answer without a valid proof")
	}
	return nil
}
