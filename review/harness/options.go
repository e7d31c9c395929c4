package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["options"] = serverWideOptions }

// serverWideOptions sends requests that fit no route: with the method OPTIONS and the target
// "*", which is for the server as a whole.
func serverWideOptions(w *world, trouble bool) (result, error) {
	if _, err := w.deploy(map[string]any{"first": tenant(keyOfFirst)}); err != nil {
		return result{}, err
	}
	path := "/never/"
	if trouble {
		path = "*"
	}
	var unsigned []string
	for _, e := range w.edges {
		c := client{w: w, address: e.front()}
		for range 4 {
			r := c.send(call{method: http.MethodOptions, host: host, path: path, key: keyOfFirst, idempotent: true, timeLeft: 2 * time.Second})
			if r.status/100 == 2 && !r.signed {
				unsigned = append(unsigned, fmt.Sprintf("%s was answered %d without a signature and ran nowhere", r.id, r.status))
			}
		}
	}
	return result{broken: len(unsigned) > 0, summary: fmt.Sprintf("MIXED %d of 8\n%s", len(unsigned), strings.Join(unsigned, "\n"))}, nil
}
