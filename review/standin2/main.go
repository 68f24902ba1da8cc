//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is less than the 120 seconds that a case may take.
const maxTime = 112 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "standin2 CASE RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(2)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-ends:
		case <-time.After(maxTime):
		}
		f.record.Notef("the case did not end in time")
		f.close()
		os.Exit(2)
	}()
	f.record.Notef("case %s, disruption: %t", os.Args[1], trouble)
	broken, err := play(f, trouble)
	status := 0
	switch {
	case err != nil:
		f.record.Notef("the case could not run: %v", err)
		status = 2
	case broken:
		f.record.Notef("the rule was broken")
		status = 1
	default:
		f.record.Notef("the rule held")
	}
	f.close()
	os.Exit(status)
}
