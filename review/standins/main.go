// Command review-standins runs the scripts of the review: it starts the system's programs
// with stand-ins of clients, replicas and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (bool, error){
	"evacuation": runEvacuation,
	"quota":      runQuota,
	"departure":  runDeparture,
	"unframed":   runUnframed,
	"memory":     runMemory,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE RECORD")
		return cannotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer d.close()
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		b, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
		results <- result{b, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-results:
		switch {
		case r.err != nil:
			rec.say("the case could not run: %v", r.err)
			return cannotRun
		case r.broken:
			rec.say("the rule was broken")
			return broken
		}
		rec.say("the rule held")
		return held
	case <-interrupted:
	case <-time.After(115 * time.Second):
		rec.say("the case did not end in time")
	}
	return cannotRun
}
