package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const oneHost = `  8.1 edge-1 {"time":"2026-03-23T10:33:08.000Z","level":"info","process":"edge-1","event":"config_in_force","version":7,"from":"source"}
{"time":"2026-03-23T10:33:08.100Z","level":"info","process":"edge-1","event":"server_ejected","server":"i-2","cause":"hung","for":1000}
{"time":"2026-03-23T10:33:08.200Z","level":"info","process":"edge-1","event":"server_ejected","server":"i-3","cause":"hung","for":1000}
{"time":"2026-03-23T10:33:08.400Z","level":"info","process":"edge-1","event":"request_refused","request":"abc","server":"i-2","reason":"over_share","share":1.7}
not a line of ours
{"time":"2026-03-23T10:33:08.500Z","level":"info","process":"edge-1","event":"request_refused","request":"other","reason":"overload"}
`

const otherHost = `{"time":"2026-03-23T10:33:08.300Z","level":"info","process":"edge-2","event":"attempt_ended","request":"abc","outcome":"hung"}
{"time":"2026-03-23T10:33:08.250Z","level":"info","process":"edge-2","event":"dependency_lost","dependency":"source of servers"}
{"time":"2026-03-23T10:33:08.260Z","level":"info","process":"edge-2","event":"routers_lost","count":3,"first":["10.0.0.1"]}
`

func TestStory(t *testing.T) {
	story, err := Read("abc", strings.NewReader(oneHost), strings.NewReader(otherHost))
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, story.Write(&out))
	text := out.String()
	require.Contains(t, text, "request abc: 2 lines")
	require.Less(t, strings.Index(text, "edge-2: attempt_ended"), strings.Index(text, "edge-1: request_refused"), "in order of time")
	require.Contains(t, text, "400ms ago: config_in_force from=source version=7")
	require.Contains(t, text, "300ms ago: server_ejected cause=hung for=1000 server=i-2")
	require.Contains(t, text, "50ms ago: dependency_lost dependency=source of servers")
	require.Contains(t, text, "40ms ago: routers_lost count=3")
	require.NotContains(t, text, "i-3")
	require.NotContains(t, text, "other")
}

func TestUnknownRequest(t *testing.T) {
	_, err := Read("nobody", strings.NewReader(oneHost))
	require.ErrorIs(t, err, ErrUnknownRequest)
}
