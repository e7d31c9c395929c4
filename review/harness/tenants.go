package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["name"] = tenantName
	cases["last"] = lastTenant
}

// applied is how long the cases wait after the ack of a configuration: config-apply-s and a
// second more.
const applied = 3 * time.Second

// tenantName adds a tenant whose name holds a quotation mark. Its requests are sent on kept
// connections.
func tenantName(w *world, trouble bool) (result, error) {
	first := tenant(keyOfFirst)
	if _, err := w.deploy(map[string]any{"first": first}); err != nil {
		return result{}, err
	}
	name := "Sen and Sons"
	if trouble {
		name = `Sen and Sons "Court Bundles"`
	}
	w.configure(2, map[string]any{"first": first, name: tenant(keyOfSecond)})
	time.Sleep(applied)
	var lost []string
	answered := 0
	for _, e := range w.edges {
		for range 6 {
			c := client{w: w, address: e.front()}
			if r := c.send(list(keyOfFirst)); r.status != http.StatusOK || c.conn == nil {
				return result{}, fmt.Errorf("the first tenant isn't served: %d, %v", r.status, r.err)
			}
			r := c.send(pay(keyOfSecond))
			w.mu.Lock()
			switch {
			case r.err != nil && len(r.runs) > 0:
				lost = append(lost, fmt.Sprintf("%s ran at %s for %q, then %v", r.id, r.runs[0], r.tenant, r.err))
			case r.status == http.StatusOK && r.signed:
				answered++
			}
			w.mu.Unlock()
		}
	}
	return result{
		broken:  len(lost) > 3,
		summary: fmt.Sprintf("answered %d, LOST %d of 12 payments on kept connections (allowed: 3):\n%s", answered, len(lost), strings.Join(lost, "\n")),
	}, nil
}

// lastTenant takes the last tenant out of the configuration, and then sends requests with the
// dropped key, with a key that no configuration ever held, and without a key.
func lastTenant(w *world, trouble bool) (result, error) {
	first := tenant(keyOfFirst)
	if _, err := w.deploy(map[string]any{"first": first}); err != nil {
		return result{}, err
	}
	left := map[string]any{"second": tenant(keyOfSecond)}
	if trouble {
		left = map[string]any{}
	}
	w.configure(2, left)
	time.Sleep(applied)
	var ran []string
	counts := map[int]int{}
	for _, e := range w.edges {
		for _, key := range []string{keyOfFirst, "key-that-never-was-0003", ""} {
			c := client{w: w, address: e.front()}
			for range 4 {
				r := c.send(pay(key))
				w.mu.Lock()
				counts[r.status]++
				if len(r.runs) > 0 {
					ran = append(ran, fmt.Sprintf("%s with key %q ran at %s", r.id, key, r.runs[0]))
				}
				w.mu.Unlock()
			}
		}
	}
	return result{
		broken:  len(ran) > 0,
		summary: fmt.Sprintf("answers by status: %v; payments run with a dropped key, a key that never was or none: %d of 24\n%s", counts, len(ran), strings.Join(ran, "\n")),
	}, nil
}
