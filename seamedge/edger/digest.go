package edger

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
)

// digestOf returns a number that is the same for requests with the same method, host, URI,
// key and body, and at all instances. It is never 0. Of a streamed body only the buffered
// beginning and the length count. The digest doesn't reveal what it was made of.
func digestOf(req *callerRequest, key string) uint64 {
	h := sha256.New()
	for _, part := range []string{req.request.Method, req.request.Host, req.request.RequestURI, key, strconv.FormatInt(req.bodyLength, 10)} {
		// The lengths keep parts apart: "a", "bc" differs from "ab", "c".
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(req.body.Data)
	return max(binary.BigEndian.Uint64(h.Sum(nil)), 1)
}

// formatDigest returns a digest as it stands in the log.
func formatDigest(digest uint64) string { return strconv.FormatUint(digest, 16) }
