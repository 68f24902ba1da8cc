package router

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
)

// routingTable holds the parts of a bundle that are needed to admit and route
// requests. A request keeps the table under which it was admitted until it ends.
type routingTable struct {
	generation fleet.Generation
	limits     bundle.Limits
	teams      map[[sha256.Size]byte]*bundle.Team // by the digest of a bearer key
	works      []bundle.Work
}

func newRoutingTable(g fleet.Generation, b bundle.Bundle) *routingTable {
	t := &routingTable{
		generation: g,
		limits:     b.Limits,
		teams:      map[[sha256.Size]byte]*bundle.Team{},
		works:      b.Works,
	}
	for i := range b.Teams {
		t.addKeys(&b.Teams[i])
	}
	return t
}

func (t *routingTable) addKeys(team *bundle.Team) {
	for _, k := range team.Keys {
		raw, err := hex.DecodeString(strings.TrimPrefix(k, bundle.KeyHashPrefix))
		if err != nil || len(raw) != sha256.Size {
			continue // the bundle's validation rejects such keys
		}
		t.teams[[sha256.Size]byte(raw)] = team
	}
}

// team returns the team of a request's bearer key. The map is keyed by digests, so
// that the time of a lookup reveals nothing about the key. The digests are then
// compared in constant time.
func (t *routingTable) team(r *http.Request) (*bundle.Team, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, false
	}
	sum := sha256.Sum256([]byte(key))
	team, ok := t.teams[sum]
	if !ok {
		return nil, false
	}
	for _, k := range team.Keys {
		want := bundle.KeyHashPrefix + hex.EncodeToString(sum[:])
		if subtle.ConstantTimeCompare([]byte(k), []byte(want)) == 1 {
			return team, true
		}
	}
	return nil, false
}

// route returns the matching work with the highest specificity. It returns false if
// no work matches.
func (t *routingTable) route(method, path, model string) (bundle.Work, bool) {
	var best bundle.Work
	bestSpecificity := -1
	for _, w := range t.works {
		if !matches(w, method, path, model) {
			continue
		}
		if s := specificity(w); s > bestSpecificity {
			best, bestSpecificity = w, s
		}
	}
	return best, bestSpecificity >= 0
}

// dependsOnModel reports whether a path's route depends on the model named in the
// body.
func (t *routingTable) dependsOnModel(path string) bool {
	for _, w := range t.works {
		if w.Model != "" && pathMatches(w.Path, path) {
			return true
		}
	}
	return false
}

func matches(w bundle.Work, method, path, model string) bool {
	if w.Method != "" && w.Method != method {
		return false
	}
	if w.Model != "" && w.Model != model {
		return false
	}
	return pathMatches(w.Path, path)
}

func pathMatches(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}

// specificity returns the precedence of a matching work: longer paths come first,
// then works that name a model, then works that name a method.
func specificity(w bundle.Work) int {
	r := 4 * len(w.Path)
	if w.Model != "" {
		r += 2
	}
	if w.Method != "" {
		r++
	}
	return r
}
