//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/croftvale/croftvale/platform/platformtest"
)

// recorder collects what was sent, answered and run, with the time since the start of the script.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	lines []recordLine
}

type recordLine struct {
	at   time.Duration
	text string
}

func newRecorder() *recorder { return &recorder{start: time.Now()} }

// add records an event that happens now.
func (r *recorder) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

// addAt records an event of the given time.
func (r *recorder) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, recordLine{at.Sub(r.start), fmt.Sprintf(format, args...)})
}

// since returns the time since the start of the script.
func (r *recorder) since(at time.Time) time.Duration { return at.Sub(r.start) }

// sorted returns times, earliest first.
func sorted(times []time.Time) []time.Time {
	return slices.SortedFunc(slices.Values(times), time.Time.Compare)
}

// addRuns records what an engine ran.
func (r *recorder) addRuns(e *platformtest.Engine) {
	for _, run := range e.Runs() {
		r.addAt(run.At, "run      engine=%s version=%s id=%s from=%s after=%d prompt=%s whole=%v",
			e.ID, e.Version, run.Header.Get(names.AttemptID), run.Header.Get("Test-Router"), run.AfterEvent, run.Header.Get(names.PromptPrefix), run.Completed)
	}
}

// write writes the record, in order of time, and the verdict.
func (r *recorder) write(dir, verdict string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.lines, func(a, b recordLine) int { return int(a.at - b.at) })
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return err
	}
	for _, l := range r.lines {
		fmt.Fprintf(out, "%8.3f %s\n", l.at.Seconds(), l.text)
	}
	fmt.Fprintln(out, verdict)
	return out.Close()
}

// nameTable holds the platform's names.
type nameTable struct {
	SettingsVariable, ReadyPath, AttemptID, Deadline, LastEventID, Resumes, PromptPrefix, TokenCount, ServerStamp, VersionsKind, PartsKind, ColdRemaining string
}

var names nameTable

func loadNames(text []byte) {
	if err := json.Unmarshal(text, &names); err != nil {
		panic(err)
	}
}
