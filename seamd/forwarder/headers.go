package forwarder

import (
	"net/http"
	"strings"
)

// Headers exchanged with callers, upstreams and other instances.
const (
	HeaderRequestID = "Seam-Request-Id"
	HeaderTeam      = "Seam-Team"
	// HeaderCode is the numeric code of a refusal.
	HeaderCode = "Seam-Code"
	// HeaderNotRun states whether a refused request certainly did not run; see
	// [FormatRan].
	HeaderNotRun = "Seam-Not-Run"
	// HeaderDeadline is the time left until the request's deadline, as a duration
	// such as "1.5s".
	HeaderDeadline = "Seam-Deadline"
	// HeaderName identifies a request that must run at most once.
	HeaderName = "Seam-Name"
	// HeaderPass carries the Envelope of a request that one instance passes to
	// another.
	HeaderPass = "Seam-Pass"
	// HeaderRetryMS is the number of milliseconds after which a refused request may be
	// retried.
	HeaderRetryMS = "Seam-Retry-Ms"

	headerUpstreamLoad     = "Upstream-Load"
	headerUpstreamNotRun   = "Upstream-Not-Run"
	headerUpstreamDraining = "Upstream-Draining"
)

// systemHeaderPrefix is the prefix of headers that only the system may set.
const systemHeaderPrefix = "Seam-"

// keyPrefix is the prefix of every API key that the system issues.
const keyPrefix = "seam_"

// maxResponseHeaderBytes limits the size of the headers of a response.
const maxResponseHeaderBytes = 64 << 10

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// protectedHeaders are headers that a caller must not list in its Connection header. The
// forwarder removes listed headers, and without these the request would have another
// meaning.
var protectedHeaders = []string{"Authorization", "Content-Length", "Content-Type", "Cookie", "Host"}

// BearerToken returns the API key in the Authorization header. It reports false if there
// is none.
func BearerToken(h http.Header) (string, bool) {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return token, ok && token != ""
}

// SanitizeRequestHeader returns a copy of a caller's headers. The copy contains no
// hop-by-hop headers, no Authorization header, no headers that only the system may set,
// and no headers whose value contains an API key. It returns nil and false if the
// Connection header lists a protected header or one that only the system may set.
func SanitizeRequestHeader(in http.Header) (http.Header, bool) {
	token, _ := BearerToken(in)
	out := in.Clone()
	for _, name := range connectionOptions(in) {
		if isProtected(name) {
			return nil, false
		}
		out.Del(name)
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	for name, values := range out {
		if hasPrefixFold(name, systemHeaderPrefix) || anyContainsKey(values, token) {
			delete(out, name)
		}
	}
	return out, true
}

// ContainsKey reports whether text contains an API key: either token, which is the
// caller's key, or any text that starts like the keys that the system issues.
func ContainsKey(text, token string) bool {
	return strings.Contains(text, keyPrefix) || token != "" && strings.Contains(text, token)
}

func anyContainsKey(values []string, token string) bool {
	for _, v := range values {
		if ContainsKey(v, token) {
			return true
		}
	}
	return false
}

func isProtected(name string) bool {
	for _, p := range protectedHeaders {
		if strings.EqualFold(p, name) {
			return true
		}
	}
	return hasPrefixFold(name, systemHeaderPrefix)
}

func hasPrefixFold(s, prefix string) bool {
	return len(s) >= len(prefix) && strings.EqualFold(s[:len(prefix)], prefix)
}

// connectionOptions returns the header names that the Connection header lists.
func connectionOptions(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// copyResponseHeader copies the headers of an upstream's response to dst. It leaves out
// hop-by-hop headers, headers that only the system may set, and Upstream-* headers, in
// which the upstream reports its state to the system.
func copyResponseHeader(dst, src http.Header) {
	options := connectionOptions(src)
	for name, values := range src {
		if !hasPrefixFold(name, systemHeaderPrefix) && !hasPrefixFold(name, "Upstream-") {
			dst[name] = values
		}
	}
	for _, name := range append(options, hopByHopHeaders...) {
		dst.Del(name)
	}
}
