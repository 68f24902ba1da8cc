package explain

import (
	"strings"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

const firstHostLog = `  8.1 edge-1 {"time":"2026-03-23T10:33:08.000Z","level":"info","process":"edge-1","event":"config_in_force","version":7,"from":"source"}
{"time":"2026-03-23T10:33:08.100Z","level":"info","process":"edge-1","event":"server_ejected","server":"i-2","cause":"hung","for":1000}
{"time":"2026-03-23T10:33:08.200Z","level":"info","process":"edge-1","event":"server_ejected","server":"i-3","cause":"hung","for":1000}
{"time":"2026-03-23T10:33:08.400Z","level":"info","process":"edge-1","event":"request_refused","request":"abc","server":"i-2","reason":"over_share","share":1.7}
not a line of ours
{"time":"2026-03-23T10:33:08.500Z","level":"info","process":"edge-1","event":"request_refused","request":"other","reason":"overload"}
`

const secondHostLog = `{"time":"2026-03-23T10:33:08.300Z","level":"info","process":"edge-2","event":"attempt_ended","request":"abc","outcome":"hung"}
{"time":"2026-03-23T10:33:08.250Z","level":"info","process":"edge-2","event":"dependency_lost","dependency":"source of servers"}
{"time":"2026-03-23T10:33:08.260Z","level":"info","process":"edge-2","event":"routers_lost","count":3,"first":["10.0.0.1"]}
`

func TestTimeline(t *testing.T) {
	timeline, err := Read("abc", strings.NewReader(firstHostLog), strings.NewReader(secondHostLog))
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, timeline.Write(&out))
	text := out.String()
	require.True(t, strings.HasPrefix(text, "request abc was refused and has not run at edge-1: its team had used its share for the moment.\nlog lines on this request: 2\n"), text)
	require.Less(t, strings.Index(text, "edge-2: attempt_ended"), strings.Index(text, "edge-1: request_refused"), "the steps are in order of time")
	require.Contains(t, text, "400ms ago: config_in_force from=source version=7")
	require.Contains(t, text, "300ms ago: server_ejected cause=hung for=1s server=i-2")
	require.Contains(t, text, "50ms ago: dependency_lost dependency=source of servers")
	require.Contains(t, text, "40ms ago: routers_lost count=3")
	require.NotContains(t, text, "i-3")
	require.NotContains(t, text, "other")
}

func TestUnknownRequest(t *testing.T) {
	_, err := Read("nobody", strings.NewReader(firstHostLog))
	require.ErrorIs(t, err, ErrUnknownRequest)
}

const plainTextLog = `{"time":"2026-03-23T10:33:08.000Z","level":"info","process":"edge-1","event":"vitals","lag":0.76,"lines_dropped":4}
{"time":"2026-03-23T10:33:08.400Z","level":"info","process":"edge-1","event":"request_failed","request":"abc","server":"i-2","reason":"timeout","took":399.87214,"estimate":46.8,"pending_tokens":4234,"share":1.0191234}
{"time":"2026-03-23T10:33:08.300Z","level":"info","process":"edge-1","event":"shares","headroom":1,"even":566340.3,"most":[{"Team":"red","Offered":1849088.4,"Served":12.5}]}
{"time":"2026-03-23T10:33:10.000Z","level":"info","process":"edge-1","event":"vitals","lag":0.76,"lines_dropped":21}
`

// TestStoryIsPlain checks that the text begins with the outcome and its reason, prints numbers
// with their units, and warns of dropped lines.
func TestStoryIsPlain(t *testing.T) {
	timeline, err := Read("abc", strings.NewReader(plainTextLog))
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, timeline.Write(&out))
	text := out.String()
	require.True(t, strings.HasPrefix(text,
		"request abc failed and may have run at edge-1, 399.87ms after it arrived: its deadline passed before a server responded.\n"), text)
	require.Contains(t, text, "estimate=46.8ms pending_tokens=4234 tokens reason=timeout server=i-2 share=1.019 took=399.87ms")
	require.Contains(t, text, "shares even=566340 tokens/s headroom=1 most=[red asks for 1849088, gets 12.500 tokens/s]")
	require.Contains(t, text, "lag=760\u00b5s")
	require.Contains(t, text, "edge-1 had dropped 21 lines by the end of its log")
}

// TestEveryReasonIsExplained checks that each reason of package direct has a text.
func TestEveryReasonIsExplained(t *testing.T) {
	for _, reason := range []direct.Reason{
		direct.ReasonNoServers, direct.ReasonOverload, direct.ReasonOverShare, direct.ReasonAttempts,
		direct.ReasonRetryBudget, direct.ReasonAtMostOnce, direct.ReasonDeadline, direct.ReasonRegion, direct.ReasonVersion, direct.ReasonQuarantined, direct.ReasonBackoff,
	} {
		require.NotEmpty(t, reasonTexts[string(reason)], reason)
	}
}

const hallLog = `{"time":"2026-03-23T10:33:07.000Z","level":"info","process":"edge-1","event":"hall_lost","hall":"a","unreached":3}
{"time":"2026-03-23T10:33:07.500Z","level":"info","process":"edge-1","event":"hall_reached","hall":"a"}
{"time":"2026-03-23T10:33:08.000Z","level":"info","process":"edge-1","event":"hall_evacuated","hall":"b","revision":71,"servers":14}
{"time":"2026-03-23T10:33:08.400Z","level":"info","process":"edge-1","event":"request_refused","request":"abc","reason":"no_servers","age":1200.5,"left":9000}
`

// TestTimelineShowsUnusableHalls checks that the timeline shows the halls that are evacuated or
// lost, but not those that are in use again.
func TestTimelineShowsUnusableHalls(t *testing.T) {
	timeline, err := Read("abc", strings.NewReader(hallLog))
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, timeline.Write(&out))
	require.Contains(t, out.String(), "all were out of use")
	require.Contains(t, out.String(), "400ms ago: hall_evacuated hall=b")
	require.NotContains(t, out.String(), "hall=a")
	require.Contains(t, out.String(), "age=1.2005s left=9s")
}
