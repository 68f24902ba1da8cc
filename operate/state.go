package operate

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
)

const (
	stateTimeout  = 5 * time.Second
	maxStateBytes = 64 << 20
)

// ErrState means that no state dump could be fetched from a process.
var ErrState = errors.New("no state from this address; give the admin address of a running process")

// Summary holds the fields that the state dump of every process has.
type Summary struct {
	Name       fleet.Name       `json:"name"`
	Role       string           `json:"role"`
	Hall       fleet.Hall       `json:"hall"`
	Generation fleet.Generation `json:"generation"`
	Leaving    bool             `json:"leaving"`
	Peers      []PeerSummary    `json:"peers"`
}

// PeerSummary holds what a router reports about another process.
type PeerSummary struct {
	Name       fleet.Name       `json:"name"`
	Role       string           `json:"role"`
	Hall       fleet.Hall       `json:"hall"`
	Generation fleet.Generation `json:"generation"`
}

// FetchState fetches the state dump of the process whose admin address is given.
func FetchState(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return nil, errors.Mark(err, ErrState)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s: %s", address, ErrState.Error()), ErrState)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxStateBytes))
	if err != nil || res.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrState, "%s responded with status %d", address, res.StatusCode)
	}
	return data, nil
}

// Summarize decodes the fields of a state dump that every process has.
func Summarize(dump []byte) (Summary, error) {
	var s Summary
	err := json.Unmarshal(dump, &s)
	return s, errors.Wrap(err, "read state")
}
