package wire

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// sampleMessages holds a message of each type that is sent.
var sampleMessages = []Message{
	Hello{Name: "r", Role: RoleRouter, Hall: "a", Incarnation: 7},
	Heartbeat{Generation: 3, Leaving: true, Hub: true},
	Alive{},
	Demand{Rows: []DemandRow{{Work: 1, Team: 2, Class: 1, Count: 3, OldestAge: 40}}},
	Free{Slots: 8, First: 77},
	Claim{Seq: 900, Work: 1, Team: 2, Class: 2},
	Deny{Seq: 9, Row: DemandRow{Work: 1}},
	Service{Rows: []ServiceRow{{Team: 1, Service: 1 << 40, Lift: 5}}},
	Totals{Rows: []ServiceRow{{Team: 1, Service: 12}}},
	HallTotals{Hall: "b", Rows: []ServiceRow{{Team: 1, Service: 12}}},
	AgentRows{Hall: "b", Agent: "e", Incarnation: 4, Rows: []ServiceRow{{Team: 1}}},
	BundlePull{Have: 3},
	BundleData{Order: []byte("o"), Content: []byte("c")},
	Name{Number: 4, Text: "zurich"},
	KeyReserve{Request: 7, Work: 1, Digest: make([]byte, 16), Made: 1 << 41},
	KeyVerdict{Request: 7, Verdict: 1},
	KeyRelease{Request: 7, Work: 1, Digest: make([]byte, 16)},
}

// TestFrameRoundTrip checks that Read decodes what Encode wrote, and returns the
// sizes of the frames.
func TestFrameRoundTrip(t *testing.T) {
	var all bytes.Buffer
	sizes := 0
	for _, m := range sampleMessages {
		f, err := Encode(m)
		require.NoError(t, err)
		all.Write(f)
		sizes += len(f)
	}
	for _, want := range sampleMessages {
		got, n, err := Read(&all)
		require.NoError(t, err)
		require.Equal(t, want, got)
		sizes -= n
	}
	require.Zero(t, sizes)
}

// TestReadRejectsInvalidFrames checks that Read rejects frames that are too large,
// empty or of an unknown type, and that Encode rejects a message that is too large.
func TestReadRejectsInvalidFrames(t *testing.T) {
	_, _, err := Read(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 0x7f, 1}))
	require.ErrorIs(t, err, ErrFrameTooLarge)
	_, _, err = Read(bytes.NewReader([]byte{2, 200, 0}))
	require.ErrorIs(t, err, ErrUnknownType)
	_, _, err = Read(bytes.NewReader([]byte{0}))
	require.ErrorIs(t, err, ErrFrameTooLarge)
	_, err = Encode(BundleData{Content: make([]byte, MaxFrame+1)})
	require.ErrorIs(t, err, ErrFrameTooLarge)
}

// TestNamesAreSentOnce checks that a name is numbered and sent once, and that the
// receiver resolves its number.
func TestNamesAreSentOnce(t *testing.T) {
	var sent SentNames
	var received ReceivedNames
	a, b := sent.Number("ajax"), sent.Number("basel")
	require.Equal(t, a, sent.Number("ajax"))
	unsent := sent.TakeUnsent()
	require.Len(t, unsent, 2)
	require.Empty(t, sent.TakeUnsent())
	for _, n := range unsent {
		received.Add(n)
	}
	require.Equal(t, "basel", received.Text(b))
	require.Empty(t, received.Text(99))
}

// FuzzRead checks that any input from a peer yields either an error or messages
// that can be encoded again.
func FuzzRead(f *testing.F) {
	for _, m := range sampleMessages {
		frame, err := Encode(m)
		require.NoError(f, err)
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		for {
			m, _, err := Read(r)
			if err != nil {
				return
			}
			_, err = Encode(m)
			require.NoError(t, err)
		}
	})
}
