package forwarder

import (
	"net/http"
	"strings"
)

// Headers between the system, its callers and upstreams.
const (
	HeaderRequestID = "Seam-Request-Id"
	HeaderTeam      = "Seam-Team"
	HeaderCode      = "Seam-Code"
	HeaderNotRun    = "Seam-Not-Run"
	HeaderDeadline  = "Seam-Deadline"
	// HeaderName names a request that must run at most once.
	HeaderName = "Seam-Name"
	// HeaderPass describes a request that one instance passes to another.
	HeaderPass = "Seam-Pass"
	// HeaderRetryMS is the retry time of a refusal in milliseconds.
	HeaderRetryMS = "Seam-Retry-Ms"

	headerUpstreamLoad     = "Upstream-Load"
	headerUpstreamNotRun   = "Upstream-Not-Run"
	headerUpstreamDraining = "Upstream-Draining"
)

// systemPrefix starts the names of headers that only the system sets.
const systemPrefix = "Seam-"

// keyMark starts every key that the system issues.
const keyMark = "seam_"

// maxAnswerHeaderBytes bounds the headers of an upstream's answer.
const maxAnswerHeaderBytes = 64 << 10

// hopHeaders are headers that concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// protectedHeaders must not be named in a Connection header: dropping them on
// the way would change what a request means.
var protectedHeaders = []string{"Authorization", "Content-Length", "Content-Type", "Cookie", "Host"}

// BearerToken returns the key that a request carries.
func BearerToken(h http.Header) (string, bool) {
	secret, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return secret, ok && secret != ""
}

// SanitizeRequestHeader returns a copy of a caller's headers without those that concern
// one connection, that only the system sets, or that hold a key. It reports
// false if a Connection header tries to drop a header that it must not.
func SanitizeRequestHeader(in http.Header) (http.Header, bool) {
	secret, _ := BearerToken(in)
	out := in.Clone()
	for _, name := range connectionNames(in) {
		if isProtected(name) {
			return nil, false
		}
		out.Del(name)
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	for name, values := range out {
		if hasPrefixFold(name, systemPrefix) || hasKey(values, secret) {
			delete(out, name)
		}
	}
	return out, true
}

// ContainsKey reports whether text that goes to the upstream contains a key: the
// caller's own, or any that the system issued.
func ContainsKey(text, secret string) bool {
	return strings.Contains(text, keyMark) || secret != "" && strings.Contains(text, secret)
}

func hasKey(values []string, secret string) bool {
	for _, v := range values {
		if ContainsKey(v, secret) {
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
	return hasPrefixFold(name, systemPrefix)
}

func hasPrefixFold(s, prefix string) bool {
	return len(s) >= len(prefix) && strings.EqualFold(s[:len(prefix)], prefix)
}

// connectionNames lists the headers that a Connection header names.
func connectionNames(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// copyAnswer copies an answer's headers without those that concern one
// connection or that only the system sets.
func copyAnswer(dst, src http.Header) {
	dropped := connectionNames(src)
	for name, values := range src {
		if !hasPrefixFold(name, systemPrefix) && !hasPrefixFold(name, "Upstream-") {
			dst[name] = values
		}
	}
	for _, name := range append(dropped, hopHeaders...) {
		dst.Del(name)
	}
}
