// Command standins-2 plays the scripts of the second review: it starts the programs of the
// deploy file on loopback addresses with stand-ins for clients, replicas and the platform.
//
//	standins-2 TRIAL PROGRAM RECORD
//
// It exits with 1 if the rule of the trial was broken, 0 if it held, and 2 if the trial could not
// run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLostRequests is how many requests the rule LOST allows.
const maxLostRequests = 3

// minDescriptors are those that the crowds of the trials need.
const minDescriptors = 4096

// trialLimit is below the 120 s that a script may take.
const trialLimit = 110 * time.Second

// trial reports whether the rule was broken.
type trial func(d *deployment, trouble bool) (broken bool, err error)

var trials = map[string]struct {
	entryMemoryMB int
	run           trial
}{
	"heads":     {284, heads},
	"prompts":   {136, prompts},
	"paths":     {414, paths},
	"strangers": {414, strangers},
	"places":    {136, places},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 TRIAL PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, path string) int {
	t, ok := trials[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no trial", name)
		return 2
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < minDescriptors {
		r.say("cannot run: %d descriptors, %v", files.Cur, err)
		return 2
	}
	d, err := newDeployment(r, program, t.entryMemoryMB)
	if err != nil {
		r.say("cannot run: %v", err)
		return 2
	}
	defer d.close()
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		err := d.start()
		broken := false
		if err == nil {
			broken, err = t.run(d, os.Getenv("TROUBLE") != "0")
		}
		ended <- outcome{broken, err}
	}()
	select {
	case o := <-ended:
		switch {
		case o.err != nil:
			r.say("cannot run: %v", o.err)
			return 2
		case o.broken:
			r.say("the rule was broken")
			return 1
		}
		r.say("the rule held")
		return 0
	case s := <-signals:
		r.say("cannot run: %v", s)
		return 2
	case <-time.After(trialLimit):
		r.say("cannot run: not done in time")
		return 2
	}
}

// prepare starts the replicas of the filing service, sends the configuration and waits until all
// entry hosts serve it.
func prepare(d *deployment, c object, work time.Duration) ([]*replica, error) {
	var replicas []*replica
	for i, region := range d.regions {
		r, err := startReplica(d, "i-filing-"+region, "registro", region, 40+i, work)
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
		d.register(r)
	}
	return replicas, d.replace(c)
}
