// Command scene plays the cases of this review that are scripts: it starts instances of
// seamedge as separate processes, with small stand-ins of the store, endpoints and clients on
// loopback addresses, and judges what these have seen.
//
//	scene CASE RECORD
//
// It runs in the root of the repository. It exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case couldn't run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// verdict is the outcome of a case.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	couldNot verdict = 2
)

// cases holds the cases by name. trouble is false if the disruption is to be left out.
var cases = map[string]func(r *record, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene CASE RECORD")
		os.Exit(int(couldNot))
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(couldNot))
	}
	giveUp := func() {
		started.killAll()
		os.Exit(int(couldNot))
	}
	time.AfterFunc(limit, giveUp)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		giveUp()
	}()
	v, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		v = couldNot
	}
	r.printf("result: %s", map[verdict]string{held: "the rule held", broken: "the rule was broken", couldNot: "the case couldn't run"}[v])
	os.Exit(int(v))
}

// configOf returns a configuration with one route for each of the kinds of requests.
func configOf(version string, routes map[string]any, services ...string) map[string]any {
	table := map[string]any{}
	for _, s := range services {
		table[s] = map[string]any{"health-path": "/health", "max-connections": 390, "protocol": "h1", "tls": false, "warmup-s": 0, "cold-per-s": 18}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": table,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
	}
}

// routeOf returns a route.
func routeOf(host, prefix, kind, service string, timeout, target float64, attempts int) map[string]any {
	route := map[string]any{
		"host": host, "path-prefix": prefix, "route-type": kind, "target-latency-s": target, "priority": 1,
		"service": service, "max-attempts": attempts, "allow-anonymous": false, "sticky": true, "home-regions": []string{},
	}
	if timeout > 0 {
		route["timeout-s"] = timeout
	}
	return route
}
