package cluster

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/origin"
	"github.com/vmihailenco/msgpack/v5"
)

// originMessage is a datagram about the versions that began streams. Its fields are encoded by name,
// and any may be absent; see docs/design/compatibility.md.
type originMessage struct {
	From string `msgpack:"f,omitempty"` // address of the sender; set if an answer is expected
	// Records holds rows of originRowSize bytes, which refer to Versions.
	Records  []byte        `msgpack:"r,omitempty"`
	Versions []string      `msgpack:"v,omitempty"`
	Query    *originQuery  `msgpack:"q,omitempty"`
	Answer   *originAnswer `msgpack:"a,omitempty"`
}

// originQuery is the encoding of an origin.Query.
type originQuery struct {
	Number  uint64 `msgpack:"n"`
	Service string `msgpack:"s"`
	Key     uint64 `msgpack:"k"`
}

// originAnswer is the encoding of an origin.Answer.
type originAnswer struct {
	Number   uint64   `msgpack:"n"`
	Service  string   `msgpack:"s"`
	Found    bool     `msgpack:"o,omitempty"`
	Version  string   `msgpack:"v,omitempty"`
	Versions []string `msgpack:"l,omitempty"`
	// Left holds how long each of Versions still counts, in units of lifetimeUnit.
	Left     []uint16 `msgpack:"t,omitempty"`
	Complete bool     `msgpack:"c,omitempty"`
	// MetUnlisted is not known to builds before it.
	MetUnlisted bool `msgpack:"u,omitempty"`
}

const (
	// originRowSize is the size of an encoded record: its key, its lifetime in units of
	// lifetimeUnit, and the index of its version.
	originRowSize = 8 + 2 + 1
	lifetimeUnit  = 100 * time.Millisecond
	// maxRowVersions is the number of versions that the rows of a message can refer to.
	maxRowVersions = 256
)

// errOriginRow is returned for a row that refers to a version that is not in its message.
var errOriginRow = errors.New("a record refers to a version that its message does not hold")

// encodeOrigin encodes a message as a datagram.
func encodeOrigin(m originMessage) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseCompactInts(true)
	err := encoder.Encode(m)
	return out.Bytes(), err
}

// decodeOrigin decodes a datagram.
func decodeOrigin(body []byte) (originMessage, error) {
	var m originMessage
	err := decode(body, &m)
	return m, err
}

// packOriginRecords returns a message with records. It skips those beyond maxRowVersions versions.
func packOriginRecords(records []origin.Record) originMessage {
	var m originMessage
	for _, r := range records {
		index := slices.Index(m.Versions, r.Version)
		if index < 0 {
			if index = len(m.Versions); index == maxRowVersions {
				continue
			}
			m.Versions = append(m.Versions, r.Version)
		}
		m.Records = binary.BigEndian.AppendUint64(m.Records, uint64(r.Key))
		m.Records = binary.BigEndian.AppendUint16(m.Records, uint16(min(r.Lifetime, origin.MaxLifetime)/lifetimeUnit))
		m.Records = append(m.Records, byte(index))
	}
	return m
}

// packOriginAnswer encodes an answer.
func packOriginAnswer(a origin.Answer) *originAnswer {
	out := &originAnswer{Number: a.Number, Service: a.Service, Found: a.Found, Version: a.Version, Complete: a.Complete, MetUnlisted: a.MetUnlisted}
	for _, v := range a.Versions {
		out.Versions = append(out.Versions, v.Name)
		out.Left = append(out.Left, uint16(min(v.Left, origin.MaxLifetime)/lifetimeUnit))
	}
	return out
}

// unpack returns the answer. A version without a time counts as if its servers had just gone.
func (a *originAnswer) unpack() origin.Answer {
	out := origin.Answer{Number: a.Number, Service: a.Service, Found: a.Found, Version: a.Version, Complete: a.Complete, MetUnlisted: a.MetUnlisted}
	for i, name := range a.Versions {
		left := origin.MaxLifetime
		if i < len(a.Left) {
			left = time.Duration(a.Left[i]) * lifetimeUnit
		}
		out.Versions = append(out.Versions, origin.RecentVersion{Name: name, Left: left})
	}
	return out
}

// records returns the records of a message.
func (m *originMessage) records() ([]origin.Record, error) {
	out := make([]origin.Record, 0, len(m.Records)/originRowSize)
	for rows := m.Records; len(rows) >= originRowSize; rows = rows[originRowSize:] {
		index := int(rows[10])
		if index >= len(m.Versions) {
			return nil, errOriginRow
		}
		out = append(out, origin.Record{
			Key:      origin.Key(binary.BigEndian.Uint64(rows)),
			Lifetime: time.Duration(binary.BigEndian.Uint16(rows[8:])) * lifetimeUnit,
			Version:  m.Versions[index],
		})
	}
	return out, nil
}
