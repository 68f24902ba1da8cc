//go:build review

// Command harness plays the cases of the review: routers as separate processes, with stand-ins for
// the platform's store, engines and clients in this one.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/croftvale/croftvale/review/harness/data"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldnt   = 2
	longestIn = 110 * time.Second
)

// trouble says which disruptions a case plays.
type trouble string

func (t trouble) on() bool { return t != "0" }

// caseFunc plays a case and returns whether the rule was broken, with the figures.
type caseFunc func(f *fleet, t trouble) (isBroken bool, figures string, err error)

var cases = map[string]caseFunc{
	"cut-version":    cutVersion,
	"outage-version": outageVersion,
	"copy-part":      copyPart,
	"copy-version":   copyVersion,
	"head-flood":     headFlood,
	"lost-version":   lostVersion,
	"copy-crash":     copyCrash,
}

func main() {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", "", "the folder of record.txt")
	daemon := flag.String("daemon", "target/croftvaled", "the program of the routers")
	flag.Parse()
	os.Exit(play(*name, *dir, *daemon, trouble(os.Getenv("TROUBLE"))))
}

func play(name, dir, daemon string, t trouble) int {
	loadNames(data.Names)
	rec := newRecorder()
	verdict, code := "", couldnt
	defer func() {
		fmt.Println(verdict)
		if err := rec.write(dir, verdict); err != nil {
			fmt.Println(err)
		}
	}()
	daemon, err := filepath.Abs(daemon)
	if err != nil {
		verdict = err.Error()
		return code
	}
	f, err := newFleet(daemon, rec)
	if err != nil {
		verdict = err.Error()
		return code
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		isBroken bool
		figures  string
		err      error
	}
	done := make(chan result, 1)
	go func() {
		isBroken, figures, err := cases[name](f, t)
		done <- result{isBroken, figures, err}
	}()
	select {
	case r := <-done:
		for _, e := range f.allEngines() {
			rec.addRuns(e)
		}
		switch {
		case r.err != nil:
			verdict = "could not run: " + r.err.Error()
		case r.isBroken:
			verdict, code = "BROKEN: "+r.figures, broken
		default:
			verdict, code = "held: "+r.figures, held
		}
	case <-stop:
		verdict = "could not run: stopped"
	case <-time.After(longestIn):
		verdict = "could not run: it took too long"
	}
	return code
}
