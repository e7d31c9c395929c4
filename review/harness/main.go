// Command harness plays the cases of this review: it starts the project's own programs as
// separate processes, with stand-ins of platform, endpoints and clients, on loopback
// addresses and the real clock.
//
//	harness CASE ROOT RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case
// couldn't run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// result says whether the rule was broken, and what was seen.
type result struct {
	broken  bool
	summary string
}

var cases = map[string]func(w *world, trouble bool) (result, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() {
		w.stop()
		fmt.Println("could not run: out of time")
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE")
	w.crashes = trouble != "0"
	r, err := cases[os.Args[1]](w, trouble != "0" && trouble != "crash")
	if err != nil {
		w.log("could not run: %v", err)
		w.stop()
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	w.log("%s", r.summary)
	w.stop()
	fmt.Println(r.summary)
	if r.broken {
		os.Exit(1)
	}
}
