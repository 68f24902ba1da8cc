package explain

import (
	"fmt"
	"time"
)

// outcomeTexts say how a request ended, by the event of its last line.
var outcomeTexts = map[string]string{
	"request_served":      "was served",
	"request_refused":     "was refused and has not run",
	"request_rejected":    "was not admitted and has not run",
	"request_failed":      "failed and may have run",
	"request_cut":         "was cut after its answer had begun",
	"request_caller_left": "ended because its caller left",
	"attempt_ended":       "went on after an attempt; its end is not in these logs",
}

// reasonTexts say why, by the reason of the last line.
var reasonTexts = map[string]string{
	"over_share":    "its team had had what it may have for the moment",
	"overload":      "no server would have met its objective",
	"backoff":       "every server of its service that could get requests had turned one away and asked this router to send it none for some time",
	"no_servers":    "no server of its service could be reached, or all were out of use (evacuated, draining, failing or in a lost hall)",
	"region":        "no server of the regions that its route and its team may use could be reached, or all were out of use there",
	"attempts":      "its route allows no further server",
	"budget":        "the fleet's budget for retries was spent",
	"at_most_once":  "it may have run already, and may not run twice",
	"deadline":      "its time was over before a server was free",
	"timeout":       "its time was over before a server had answered",
	"stream_broken": "its server broke off, and its route does not let it go on at another",
	"pressure":      "the router had no processor time for it",
	"draining":      "the router was ending",
	"no_config":     "the router knew no configuration yet",
	"memory":        "the router had no memory for its body",
	"no_route":      "no route matched its host and path",
	"unknown_key":   "no team has its key",
	"body":          "its body could not be read, or was too large",
	"bad_header":    "one of its headers could not be read",
}

// summary says in a sentence how the request ended, where, and why.
func (t *Timeline) summary() string {
	last := t.steps[len(t.steps)-1]
	outcome := outcomeTexts[last.Event]
	if outcome == "" {
		outcome = "was last heard of as " + last.Event
	}
	text := fmt.Sprintf("request %s %s at %s", t.Request, outcome, last.Process)
	if took, ok := last.fields["took"].(float64); ok {
		text += fmt.Sprintf(", %s after it came", milliseconds(took))
	}
	if reason := reasonTexts[stringField(last.fields, "reason")]; reason != "" {
		text += ": " + reason
	}
	return text + "."
}

// milliseconds prints a time that a log gives as a number of milliseconds.
func milliseconds(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(10 * time.Microsecond).String()
}

// warnings say what may be missing from the story.
func (t *Timeline) warnings() []string {
	var out []string
	reported := make(map[string]bool)
	for _, step := range t.steps {
		if n := t.dropped[step.Process]; n > 0 && !reported[step.Process] {
			reported[step.Process] = true
			out = append(out, fmt.Sprintf(
				"%s had dropped %.0f lines by the end of its log, for their number: some on this request may be missing.", step.Process, n))
		}
	}
	return out
}
