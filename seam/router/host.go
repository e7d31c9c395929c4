package router

import (
	"net"
	"strings"
)

// CanonicalHost returns the form of a host by which routes are found: without a port, without
// the dot that ends a fully qualified name, and in lower case, since the names of hosts are
// case-insensitive (RFC 9110, section 4.2.3).
func CanonicalHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
