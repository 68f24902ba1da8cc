package explain

import (
	"strings"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

const movedStreamLog = `{"time":"2026-03-23T10:33:01.000Z","level":"info","process":"edge-1","event":"version_not_ordered","service":"llm","version":"v2"}
{"time":"2026-03-23T10:33:02.000Z","level":"info","process":"edge-1","event":"rollout_step","service":"llm","target":"v2","step":"began","stage":"waiting"}
{"time":"2026-03-23T10:33:03.000Z","level":"info","process":"edge-1","event":"version_not_ordered","service":"llm","version":"v3"}
{"time":"2026-03-23T10:33:03.500Z","level":"info","process":"edge-1","event":"rollout_step","service":"app","target":"v7","step":"began"}
{"time":"2026-03-23T10:33:04.000Z","level":"info","process":"edge-1","event":"rollout_step","service":"llm","target":"v2","step":"raised","cause":"time","stage":"all","age":2000,"within":10000,"new_good":40}
{"time":"2026-03-23T10:33:04.200Z","level":"info","process":"edge-1","event":"attempt_ended","request":"abc","service":"llm","server":"i-1","version":"v1","side":"old","outcome":"moved"}
{"time":"2026-03-23T10:33:04.400Z","level":"info","process":"edge-1","event":"request_served","request":"abc","service":"llm","server":"i-2","version":"v2","side":"moved","took":900}
`

// TestStoryOfMovedStream checks that the text names the versions that a request went to and why,
// that its stream was moved, and the state of the rollout of its service, but of no other service.
func TestStoryOfMovedStream(t *testing.T) {
	text := timelineText(t, movedStreamLog)
	require.True(t, strings.HasPrefix(text, `request abc was served at edge-1, 900ms after it arrived.
It went to version v1: requests that share parts of its prompt had not been moved to the target yet.
Its stream was broken off there by edge-1, to continue on a server of the new version.
It went to version v2: it had been broken off at a server of the old version to continue on one of the target.
log lines on this request: 2
`), text)
	require.Contains(t, text, "400ms ago: rollout_step age=2s cause=time new_good=40 service=llm stage=all step=raised target=v2 within=10s")
	require.Contains(t, text, "1.4s ago: version_not_ordered service=llm version=v3")
	require.NotContains(t, text, "version_not_ordered service=llm version=v2", "it has been ordered since")
	require.NotContains(t, text, "service=app")
}

// TestStoryOfBoundRequest checks the text on a request that was refused because of its regions.
func TestStoryOfBoundRequest(t *testing.T) {
	text := timelineText(t, `{"time":"2026-03-23T10:33:04.400Z","process":"edge-1","event":"request_refused","request":"abc","service":"llm","reason":"region","took":1}`)
	require.Contains(t, text, "was refused and has not run at edge-1, 1ms after it arrived: no server of the regions that its route and its team may use")
	require.NotContains(t, text, "It went to version")
}

// TestEverySideIsExplained checks that each side of package direct has a text.
func TestEverySideIsExplained(t *testing.T) {
	for _, side := range []direct.Side{
		direct.SideOld, direct.SideTarget, direct.SideSample, direct.SideLimit, direct.SideFull, direct.SideRetry, direct.SideBegun,
	} {
		require.NotEmpty(t, sideTexts[string(side)], side)
	}
}

func timelineText(t *testing.T, log string) string {
	timeline, err := Read("abc", strings.NewReader(log))
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, timeline.Write(&out))
	return out.String()
}
