package cluster

import (
	"bytes"
	"context"
	"flag"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"
)

// addCorpus writes the messages of this build to the corpus under a name, to be committed before
// the build lands:
//
//	go test ./gateway/cluster -run TestCorpus -add-corpus DAY
var addCorpus = flag.String("add-corpus", "", "write this build's messages to the corpus under a `name`")

// corpus holds the messages of all builds that landed, each in a folder named after its commit or,
// for builds added before their commit, their day. firstBuild is the first of them.
const (
	corpus     = "testdata/corpus"
	firstBuild = "2739690"
)

// beforeDemand are the builds whose lists carry no demand of callers.
var beforeDemand = []string{firstBuild, "2026-12-03"}

// beforeNearlyBarred are the builds that read the extension by field names, but whose heartbeats
// lack NearlyBarred.
var beforeNearlyBarred = []string{"2026-12-03", "2026-12-03-demand"}

// beforeOrigins are the builds that read the extension by field names and keep no records of the
// versions that began streams. All earlier ones do not either.
var beforeOrigins = []string{"2026-12-03", "2026-12-03-demand", "2026-12-03-nearly-barred"}

// beforeParts are the builds that read the extension by field names and report no prompt parts.
var beforeParts = []string{"2026-12-03", "2026-12-03-demand", "2026-12-03-nearly-barred", "2026-12-03-origins"}

// beforeMetUnlisted are the builds whose answers about origins do not tell of starts without an entry.
var beforeMetUnlisted = []string{"2026-12-03-origins", "2026-12-03-parts"}

// TestCorpusIsRead decodes the messages of each build that landed.
func TestCorpusIsRead(t *testing.T) {
	if *addCorpus != "" {
		writeCorpus(t, filepath.Join(corpus, *addCorpus))
	}
	builds, err := os.ReadDir(corpus)
	require.NoError(t, err)
	require.NotEmpty(t, builds)
	for _, build := range builds {
		b, err := decodeHeartbeat(readCorpus(t, build.Name(), "heartbeat"))
		require.NoError(t, err)
		want := sampleHeartbeat()
		if build.Name() == firstBuild {
			want.Extension = heartbeatExtension{} // this build sends none
		}
		if slices.Contains(beforeNearlyBarred, build.Name()) {
			want.Extension.NearlyBarred = 0
		}
		if slices.Contains(beforeOrigins, build.Name()) {
			want.Extension.Origins = false
		}
		if slices.Contains(beforeParts, build.Name()) {
			want.Extension.Parts, want.Extension.PartSuspects = false, nil
			want.Extension.BarredParts, want.Extension.NearlyBarredParts = 0, 0
		}
		require.Equal(t, want, b, "heartbeat of %s", build.Name())
		l, err := decodeLoadList(readCorpus(t, build.Name(), "loads"))
		require.NoError(t, err)
		list := sampleLoadList()
		if slices.Contains(beforeDemand, build.Name()) {
			list.Extension = loadListExtension{} // these builds send none
		}
		require.Equal(t, list, l, "loads of %s", build.Name())
		if build.Name() == firstBuild || slices.Contains(beforeOrigins, build.Name()) {
			continue // these builds send no messages about origins
		}
		m, err := decodeOrigin(readCorpus(t, build.Name(), "origins"))
		require.NoError(t, err)
		origins := sampleOrigin()
		origins.Answer.MetUnlisted = !slices.Contains(beforeMetUnlisted, build.Name())
		require.Equal(t, origins, m, "origins of %s", build.Name())
	}
}

// TestCorpusHasThisBuild fails if a message has changed and was not added to the corpus.
func TestCorpusHasThisBuild(t *testing.T) {
	builds, err := os.ReadDir(corpus)
	require.NoError(t, err)
	for name, body := range thisBuild(t) {
		found := false
		for _, build := range builds {
			old, err := os.ReadFile(filepath.Join(corpus, build.Name(), name+".msgpack"))
			if errors.Is(err, fs.ErrNotExist) {
				continue // the build does not send this message
			}
			require.NoError(t, err)
			found = found || bytes.Equal(old, body)
		}
		require.True(t, found, "the message %q has changed: see docs/design/compatibility.md", name)
	}
}

// TestOlderBuildReadsOurs decodes the messages of this build as build 2739690 does, which rejects
// messages with a different number of fields.
func TestOlderBuildReadsOurs(t *testing.T) {
	bodies := thisBuild(t)
	var b heartbeat2739690
	require.NoError(t, msgpack.Unmarshal(bodies["heartbeat"], &b))
	require.Equal(t, frozenHeartbeat(), b)
	var l loadList2739690
	require.NoError(t, msgpack.Unmarshal(bodies["loads"], &l))
	require.Equal(t, frozenLoadList(), l)
}

// TestOriginsBuildReadsOurs decodes a heartbeat of this build as the last one without prompt parts does,
// which must skip the fields that it does not know.
func TestOriginsBuildReadsOurs(t *testing.T) {
	var b heartbeat2739690
	var extension heartbeatExtensionOrigins
	require.NoError(t, decodeExtended(thisBuild(t)["heartbeat"], &b, &extension))
	sample := sampleHeartbeat().Extension
	require.Equal(t, heartbeatExtensionOrigins{
		Answers: sample.Answers, Ask: sample.Ask, AnswerTo: sample.AnswerTo, AskOf: sample.AskOf,
		NearlyBarred: sample.NearlyBarred, Origins: sample.Origins, News: sample.News,
	}, extension)
}

// TestPartsBuildReadsOurAnswers decodes an answer about origins of this build as the last one that knows nothing of
// starts without an entry does.
func TestPartsBuildReadsOurAnswers(t *testing.T) {
	var m struct {
		Answer *originAnswerParts `msgpack:"a,omitempty"`
	}
	require.NoError(t, decode(thisBuild(t)["origins"], &m))
	a := sampleOrigin().Answer
	require.Equal(t, &originAnswerParts{
		Number: a.Number, Service: a.Service, Found: a.Found, Version: a.Version, Versions: a.Versions, Left: a.Left, Complete: a.Complete,
	}, m.Answer)
}

// thisBuild returns the sample messages as encoded by this build.
func thisBuild(t *testing.T) map[string][]byte {
	b, err := encodeHeartbeat(sampleHeartbeat())
	require.NoError(t, err)
	list := sampleLoadList()
	l, err := encodeLoadList(&list)
	require.NoError(t, err)
	o, err := encodeOrigin(sampleOrigin())
	require.NoError(t, err)
	return map[string][]byte{"heartbeat": b, "loads": l, "origins": o}
}

func writeCorpus(t *testing.T, folder string) {
	require.NoError(t, os.MkdirAll(folder, 0o755))
	for name, body := range thisBuild(t) {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name+".msgpack"), body, 0o644))
	}
}

func readCorpus(t *testing.T, build, name string) []byte {
	t.Helper()
	body, err := os.ReadFile(filepath.Join(corpus, build, name+".msgpack"))
	require.NoError(t, err)
	return body
}

// FuzzHeartbeat decodes datagrams from arbitrary senders. The gossip of any heartbeat that can be
// decoded must survive encoding and decoding.
func FuzzHeartbeat(f *testing.F) {
	builds, err := os.ReadDir(corpus)
	require.NoError(f, err)
	for _, build := range builds {
		body, err := os.ReadFile(filepath.Join(corpus, build.Name(), "heartbeat.msgpack"))
		require.NoError(f, err)
		f.Add(body)
		f.Add(body[:len(body)/2])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		b, err := decodeHeartbeat(body)
		if err != nil {
			return
		}
		news := unpackGossip(b.Extension.News)
		require.Equal(t, news, unpackGossip(packGossip(news)))
		reports := unpackPartReports(b.Extension.PartSuspects)
		require.Equal(t, reports, unpackPartReports(packPartReports(reports)))
	})
}

// TestUnreadableSenderIsLoggedOnce sends datagrams that are no heartbeats. Each must be reported as
// unreadable, and their sender must be logged once.
func TestUnreadableSenderIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	l := eventlog.New(&out, "test")
	deps := Dependencies{Log: l, Stats: stats.New(tally.NoopScope), Traffic: traffic.NewCounter(tally.NoopScope)}
	udp, err := openTransport("127.0.0.1:0", traffic.Heartbeats, deps)
	require.NoError(t, err)
	read := make(chan error)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(read)
		_ = udp.receive(ctx, func(body []byte) error {
			_, err := decodeHeartbeat(body)
			read <- err
			return err
		})
	}()
	conn, err := net.Dial("udp", udp.conn.LocalAddr().String())
	require.NoError(t, err)
	defer conn.Close()
	short, err := encode([]int{1, 2})
	require.NoError(t, err)
	for range 3 {
		_, err = conn.Write(short)
		require.NoError(t, err)
		require.Error(t, <-read)
	}
	cancel()
	for range read {
	}
	l.Close()
	require.Equal(t, 1, strings.Count(out.String(), "datagram_unreadable"))
}
