package edger

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"primroseseam.org/platform"
)

// headSize returns the number of fields of a request's head, and the least size in bytes that
// the head can have had on the wire.
func headSize(r *http.Request) (fields, bytes int) {
	bytes = len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost:\r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			fields++
			bytes += len(name) + len(v) + len(":\r\n")
		}
	}
	return fields, bytes
}

// callerTimeout returns how long the caller waits for an answer, according to the header
// [platform.HeaderDeadline] of the request. It returns 0 if the header is missing or
// invalid or exceeds an hour.
func callerTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(platform.HeaderDeadline), 64)
	if err != nil || ms <= 0 || ms > float64(time.Hour.Milliseconds()) {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// defaultBodyTimeout limits the time for the body of a request that sets no timeout.
const defaultBodyTimeout = 30 * time.Second

// bodyTimeout returns how long the body of a request may take to arrive. Its caller doesn't
// wait for the answer any longer.
func bodyTimeout(r *http.Request) time.Duration {
	if timeout := callerTimeout(r); timeout > 0 {
		return timeout
	}
	return defaultBodyTimeout
}

// hopByHopHeaders lists the headers that apply to a single connection only and are
// therefore not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// strippedHeaders lists the headers of a caller's request that are not forwarded to
// endpoints: the caller's key, and headers that this instance sets itself.
var strippedHeaders = map[string]bool{
	platform.HeaderDeadline: true, platform.HeaderExpectInstance: true, platform.HeaderTeam: true, platform.HeaderKey: true,
}

// forwardHeader returns the headers of a caller's request that are sent to an endpoint.
func forwardHeader(in http.Header) http.Header {
	out := endToEndHeader(in)
	for name := range strippedHeaders {
		out.Del(name)
	}
	out.Del("Expect")
	return out
}

// endToEndHeader returns a copy of a header without the hop-by-hop headers, that is, those
// in hopByHopHeaders and those that the Connection header names.
func endToEndHeader(in http.Header) http.Header {
	out := make(http.Header, len(in)+3)
	for name, values := range in {
		if !hopByHopHeaders[name] {
			out[name] = values
		}
	}
	for _, line := range in["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}
