package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/origin"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestOriginRecordsSurviveEncoding checks that records of any versions and lifetimes arrive as they
// were sent, to the precision of their lifetime.
func TestOriginRecordsSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []origin.Record
		for range rapid.IntRange(0, 300).Draw(t, "records") {
			sent = append(sent, origin.Record{
				Key:      origin.Key(rapid.Uint64().Draw(t, "key")),
				Version:  fmt.Sprint("v", rapid.IntRange(0, 200).Draw(t, "version")),
				Lifetime: time.Duration(rapid.Int64Range(0, int64(2*origin.MaxLifetime)).Draw(t, "lifetime")),
			})
		}
		body, err := encodeOrigin(packOriginRecords(sent))
		require.NoError(t, err)
		m, err := decodeOrigin(body)
		require.NoError(t, err)
		got, err := m.records()
		require.NoError(t, err)
		require.Len(t, got, len(sent))
		for i, want := range sent {
			want.Lifetime = min(want.Lifetime, origin.MaxLifetime).Truncate(lifetimeUnit)
			require.Equal(t, want, got[i])
		}
	})
}

// TestOriginRowsNameVersionsOfTheirMessage verifies that a row without its version is unreadable.
func TestOriginRowsNameVersionsOfTheirMessage(t *testing.T) {
	m := packOriginRecords([]origin.Record{{Key: 1, Version: "v1"}})
	m.Versions = nil
	_, err := m.records()
	require.ErrorIs(t, err, errOriginRow)
}

// FuzzOrigin decodes datagrams from arbitrary senders.
func FuzzOrigin(f *testing.F) {
	body, err := encodeOrigin(sampleOrigin())
	require.NoError(f, err)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := decodeOrigin(body)
		if err != nil {
			return
		}
		if records, err := m.records(); err == nil {
			require.Len(t, records, len(m.Records)/originRowSize)
		}
	})
}

// TestOriginsAreFewBytes bounds what a router sends per second for the origins of streams, if all
// requests are streams and several versions serve: at the size of two years, and at 1,000 routers.
// Each record goes to two routers, in a datagram of its own, since few streams share their holders.
func TestOriginsAreFewBytes(t *testing.T) {
	const requestsPerSecond, maxBytesPerSecond = 30000, 4000
	record, err := encodeOrigin(packOriginRecords([]origin.Record{{Key: 1 << 63, Version: "v12.10", Lifetime: 25 * time.Second}}))
	require.NoError(t, err)
	for _, routers := range []int{670, 1000} {
		perRouter := float64(requestsPerSecond) / float64(routers)
		bytes := 2 * perRouter * float64(len(record))
		t.Logf("%d routers: %d B a record, %.0f B/s a router", routers, len(record), bytes)
		require.Less(t, bytes, float64(maxBytesPerSecond))
	}
}

// TestMetStartsSurviveEncoding verifies that a router learns that another one has met a start without an entry.
func TestMetStartsSurviveEncoding(t *testing.T) {
	for _, met := range []bool{false, true} {
		body, err := encodeOrigin(originMessage{Answer: packOriginAnswer(origin.Answer{Number: 7, MetUnlisted: met})})
		require.NoError(t, err)
		m, err := decodeOrigin(body)
		require.NoError(t, err)
		require.Equal(t, met, m.Answer.unpack().MetUnlisted)
	}
}
