package edger

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"primroseseam.org/platform"
)

func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("HTTP/1.1 Host: ")
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// hostOf returns the host without a port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// callerLeft returns how long the caller will wait, or 0.
func callerLeft(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(platform.HeaderDeadline), 64)
	if err != nil || ms <= 0 || ms > float64(time.Hour.Milliseconds()) {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// oneHop lists the headers that concern one connection only.
var oneHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// ownHeaders lists the headers that this system sets, whatever a caller sent.
var ownHeaders = map[string]bool{
	platform.HeaderDeadline: true, platform.HeaderExpectInstance: true, platform.HeaderTeam: true, platform.HeaderKey: true,
}

// forwardHeader returns what is passed on of a caller's header.
func forwardHeader(in http.Header) http.Header {
	out := passable(in)
	for name := range ownHeaders {
		out.Del(name)
	}
	out.Del("Expect")
	return out
}

// passable returns a header without what concerns one connection only.
func passable(in http.Header) http.Header {
	out := make(http.Header, len(in)+3)
	for name, values := range in {
		if !oneHop[name] {
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
