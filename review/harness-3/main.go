// Command stand plays the cases of the review: it starts instances of seamedge as processes, and
// stand-ins of the platform's store, of endpoints and of clients in its own process. It exits with
// 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run.
//
// Usage, in the repository's root:
//
//	stand CASE RECORD
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases maps the names of the cases to what plays them.
var cases = map[string]func(context.Context, *world) (verdict, error){}

// world is what all cases share. trouble is false if the disruption is to be left out.
type world struct {
	record    *record
	directory string
	trouble   bool
	store     *store
	storeAt   string
	instances []*instance
	ports     map[string]string
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{record: r, directory: directory, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, i := range w.instances {
			i.end()
		}
		_ = os.RemoveAll(directory)
	}()
	if w.store, w.storeAt, err = startStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type outcome struct {
		verdict verdict
		err     error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := cases[name](ctx, w)
		done <- outcome{v, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-ctx.Done():
		o.err = ctx.Err()
	}
	v, err := o.verdict, o.err
	switch {
	case err != nil:
		r.write("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case v.broken:
		r.write("BROKEN: %s", v.text)
		fmt.Println("broken:", v.text)
		return 1
	}
	r.write("held: %s", v.text)
	fmt.Println("held:", v.text)
	return 0
}

// seedCount is the number of machines that the settings name as seeds.
const seedCount = 3

// readyTimeout is how long an instance may take until it is ready.
const readyTimeout = 10 * time.Second

// addInstance adds a machine with a name in a zone and starts its instance. It waits until the
// instance is ready.
func (w *world) addInstance(name, zone string, zones map[string]string) (*instance, error) {
	i, err := w.newMachine(name, zone)
	if err != nil {
		return nil, err
	}
	if err := w.startInstance(i, zones); err != nil {
		return nil, err
	}
	return i, i.awaitReady(readyTimeout)
}

// newMachine adds a machine without starting its instance. The first three machines are the seeds.
func (w *world) newMachine(name, zone string) (*instance, error) {
	if w.ports == nil {
		var err error
		if w.ports, err = freePorts(); err != nil {
			return nil, err
		}
	}
	ip := fmt.Sprintf("127.0.1.%d", len(w.instances)+1)
	i := newInstance(name, zone, ip, w.directory, w.ports)
	w.instances = append(w.instances, i)
	return i, nil
}

// startInstance starts the instance of a machine, with the bounds of the pages.
func (w *world) startInstance(i *instance, zones map[string]string) error {
	var seeds []string
	for _, seed := range w.instances[:min(len(w.instances), seedCount)] {
		seeds = append(seeds, seed.listen["peers"])
	}
	return i.start(w.storeAt, zones, seeds, map[string]any{
		"retryRatio": 0.2, "retryExtra": 60, "regionShift": []float64{0.15}, "grace": 6, "lookupTtl": 5,
	})
}
