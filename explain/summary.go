package explain

import (
	"fmt"
	"time"
)

// outcomeTexts describes how a request ended, by the event of its last line.
var outcomeTexts = map[string]string{
	"request_served":      "was served",
	"request_refused":     "was refused and has not run",
	"request_rejected":    "was not admitted and has not run",
	"request_failed":      "failed and may have run",
	"request_cut":         "was cut off after its response had started",
	"request_caller_left": "ended because its caller disconnected",
	"handler_panicked":    "ended with a panic of its handler and may have run",
	"backup_ended":        "went on at its server after a backup; its end is not in these logs",
	"attempt_ended":       "continued after an attempt; its end is not in these logs",
}

// reasonTexts explains the outcome, by the reason of the last line.
var reasonTexts = map[string]string{
	"over_share":     "its team had used its share for the moment",
	"overload":       "no server would have met its objective",
	"backoff":        "every available server of its service had turned a request away and asked this router to back off",
	"no_servers":     "no server of its service could be reached, or all were out of use (evacuated, draining, failing or in a lost hall)",
	"origin_unknown": "its caller resumed a stream that servers of several versions may have begun, and no router knew which",
	"version":        "servers of another version than the one that began its stream can't continue it, and none of that version could be reached, or all were out of use",
	"region":         "no server of the regions that its route and its team may use could be reached, or all were out of use there",
	"attempts":       "its route allows no further attempt",
	"budget":         "the fleet's retry budget was used up",
	"at_most_once":   "it may have run already, and must not run twice",
	"deadline":       "its deadline passed before a server was free",
	"timeout":        "its deadline passed before a server responded",
	"quarantined":    "servers crash when they run its content or one of its parts; the lines quarantine_begun and the state of a router name those",
	"stream_broken":  "its server broke off the stream, and its route does not allow it to continue on another server",
	"pressure":       "the router was short of processor time",
	"draining":       "the router was shutting down",
	"no_config":      "the router had no configuration yet",
	"memory":         "the router had no memory for its body",
	"no_route":       "no route matched its host and path",
	"unknown_key":    "its key belongs to no team",
	"body":           "its body could not be read, or was too large",
	"bad_header":     "one of its headers could not be read",
}

// summary returns a sentence on how the request ended, where and why.
func (t *Timeline) summary() string {
	last := t.steps[len(t.steps)-1]
	outcome := outcomeTexts[last.Event]
	if outcome == "" {
		outcome = "was last logged as " + last.Event
	}
	text := fmt.Sprintf("request %s %s at %s", t.Request, outcome, last.Process)
	if took, ok := last.fields["took"].(float64); ok {
		text += fmt.Sprintf(", %s after it arrived", durationText(took))
	}
	if reason := reasonTexts[stringField(last.fields, "reason")]; reason != "" {
		text += ": " + reason
	}
	return text + "."
}

// durationText formats a duration that a log holds as a number of milliseconds.
func durationText(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(10 * time.Microsecond).String()
}

// warnings returns a sentence for each router whose lines on the request may be missing.
func (t *Timeline) warnings() []string {
	var out []string
	reported := make(map[string]bool)
	for _, step := range t.steps {
		if n := t.dropped[step.Process]; n > 0 && !reported[step.Process] {
			reported[step.Process] = true
			out = append(out, fmt.Sprintf(
				"%s had dropped %.0f lines by the end of its log because it logged too many: some on this request may be missing.", step.Process, n))
		}
	}
	return out
}
