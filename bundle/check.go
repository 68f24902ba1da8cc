package bundle

import (
	"encoding/hex"
	"math"
	"strings"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/tomlfile"
)

// KeyHashPrefix is the prefix of a bearer key's hash in a bundle.
const KeyHashPrefix = "sha256:"

// maxSlots is the maximum number of slots of one server. Larger numbers are
// rejected as typing errors.
const maxSlots = 4096

// check records every invalid value in f. The decoder has already checked the
// syntax, keys and types.
func check(f *tomlfile.File, b Bundle) {
	checkPolicy(f, b.Policy)
	checkLimits(f, b.Limits)
	works := checkWorks(f, b.Works)
	checkTeams(f, b.Teams, works)
	checkServers(f, b.Servers, works)
}

func checkPolicy(f *tomlfile.File, p Policy) {
	if _, ok := defaultsByPreference[p.Prefer]; p.Prefer != "" && !ok {
		f.Add("policy.prefer", p.Prefer, `write "gap" or "bytes"`)
	}
	switch p.Sharing {
	case "", SharingFleet, SharingLocal, SharingFIFO:
	default:
		f.Add("policy.sharing", p.Sharing, `write "fleet", or "local" or "fifo" as a baseline for measurements`)
	}
	if p.ClaimAhead != nil && *p.ClaimAhead < 0 {
		f.Add("policy.claim_ahead", *p.ClaimAhead, "write a whole number from 0")
	}
	checkNotNegative(f, "policy.hubs_per_hall", p.HubsPerHall)
	checkNotNegative(f, "policy.links_per_server", p.LinksPerServer)
}

func checkLimits(f *tomlfile.File, l Limits) {
	checkNotNegative(f, "limits.max_waiting", l.MaxWaiting)
	checkNotNegative(f, "limits.max_waiting_per_team", l.MaxWaitingPerTeam)
	if l.RetryBudget < 0 || l.RetryBudget > 1 || math.IsNaN(l.RetryBudget) {
		f.Add("limits.retry_budget", l.RetryBudget, "write retries per first attempt, from 0 to 1")
	}
}

func checkNotNegative(f *tomlfile.File, key string, v int) {
	if v < 0 {
		f.Add(key, v, "write a whole number from 0; 0 takes the default")
	}
}

func checkWorks(f *tomlfile.File, works []Work) map[fleet.Work]bool {
	seen := map[fleet.Work]bool{}
	if len(works) == 0 {
		f.Add("works", "none", "add at least one [[works]] table")
	}
	for i, w := range works {
		checkName(f, entryKey("works", i, "name"), string(w.Name), seen[w.Name])
		seen[w.Name] = true
		if w.Kind != KindModel && w.Kind != KindApp {
			f.Add(entryKey("works", i, "kind"), w.Kind, `write "model" or "app"`)
		}
		if !strings.HasPrefix(w.Path, "/") {
			f.Add(entryKey("works", i, "path"), w.Path, "write a path that starts with /; end it in /* for a prefix")
		}
		if _, ok := fleet.ParseClass(w.Class); w.Class != "" && !ok {
			f.Add(entryKey("works", i, "class"), w.Class, `write "urgent", "ordinary" or "batch"`)
		}
	}
	return seen
}

func checkTeams(f *tomlfile.File, teams []Team, works map[fleet.Work]bool) {
	seen := map[fleet.Team]bool{}
	keys := map[string]bool{}
	if len(teams) == 0 {
		f.Add("teams", "none", "add at least one [[teams]] table")
	}
	for i, t := range teams {
		checkName(f, entryKey("teams", i, "name"), string(t.Name), seen[t.Name])
		seen[t.Name] = true
		if !(t.Share > 0) || math.IsInf(t.Share, 0) {
			f.Add(entryKey("teams", i, "share"), t.Share, "write a number above 0")
		}
		checkNotNegative(f, entryKey("teams", i, "max_waiting"), t.MaxWaiting)
		checkKeys(f, entryKey("teams", i, "keys"), t.Keys, keys)
		checkWorkList(f, entryKey("teams", i, "works"), t.Works, works)
	}
}

func checkKeys(f *tomlfile.File, key string, hashes []string, seen map[string]bool) {
	for _, k := range hashes {
		digest, ok := strings.CutPrefix(k, KeyHashPrefix)
		raw, err := hex.DecodeString(digest)
		if !ok || err != nil || len(raw) != 32 {
			f.Add(key, k, `write "sha256:" and 64 hex digits; "croftvale keys team" makes one`)
		}
		if seen[k] {
			f.Add(key, k, "another team has this key; give each team its own")
		}
		seen[k] = true
	}
}

func checkServers(f *tomlfile.File, servers []Server, works map[fleet.Work]bool) {
	seen := map[fleet.Name]bool{}
	for i, s := range servers {
		checkName(f, entryKey("servers", i, "name"), string(s.Name), seen[s.Name])
		seen[s.Name] = true
		if s.Hall == "" {
			f.Add(entryKey("servers", i, "hall"), `""`, "write the name of the server's data hall")
		}
		checkAddress(f, entryKey("servers", i, "agent"), s.Agent)
		checkAddress(f, entryKey("servers", i, "serve"), s.Serve)
		checkAddress(f, entryKey("servers", i, "address"), s.Address)
		if s.Slots < 1 || s.Slots > maxSlots {
			f.Add(entryKey("servers", i, "slots"), s.Slots, "write a whole number from 1 to 4096")
		}
		if len(s.Works) == 0 {
			f.Add(entryKey("servers", i, "works"), "none", "name at least one work that the server runs")
		}
		checkWorkList(f, entryKey("servers", i, "works"), s.Works, works)
	}
}

func checkAddress(f *tomlfile.File, key string, a tomlfile.Address) {
	if !a.IsValid() {
		f.Add(key, `""`, tomlfile.ErrAddress.Error())
	}
}

func checkName(f *tomlfile.File, key, name string, duplicate bool) {
	if name == "" || strings.ContainsAny(name, "/ \t\n") {
		f.Add(key, `"`+name+`"`, "write a name without blanks or slashes")
	}
	if duplicate {
		f.Add(key, name, "duplicate name; give each entry its own")
	}
}

func checkWorkList(f *tomlfile.File, key string, list []fleet.Work, works map[fleet.Work]bool) {
	for _, w := range list {
		if !works[w] {
			f.Add(key, w, "no [[works]] table has this name; add it or correct the spelling")
		}
	}
}
