package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime is the longest time that a case may take.
const maxRunTime = 110 * time.Second

// cases maps the name of a case to the function that plays it and reports whether the rule
// was broken.
var cases = map[string]func(*run) (broken bool, err error){}

// run holds what a case needs.
type run struct {
	// trouble is false if the disruption is left out.
	trouble bool
	record  *record
	fleet   *fleet
	store   *store
}

func main() { os.Exit(execute()) }

func execute() int {
	daemon := flag.String("daemon", "target/shallotgladed", "program of the daemon")
	template := flag.String("template", "deploy/settings.yaml", "template of the daemon's settings")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", flag.Arg(0))
		return exitNotRun
	}
	record, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", record: record}
	record.printf("case %s, trouble %t", flag.Arg(0), r.trouble)
	r.fleet = newFleet(*daemon, *template, record)
	defer r.fleet.end()
	return playWithLimit(r, play)
}

// playWithLimit plays the case and returns the exit code.
func playWithLimit(r *run, play func(*run) (bool, error)) int {
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := play(r)
		ended <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-ended:
	case <-time.After(maxRunTime):
		o.err = errors.New("the case took too long")
	}
	switch {
	case o.err != nil:
		r.record.printf("RESULT could not run: %v", o.err)
		return exitNotRun
	case o.broken:
		r.record.printf("RESULT the rule was broken")
		return exitBroken
	default:
		r.record.printf("RESULT the rule held")
		return exitHeld
	}
}
