package bundle

import (
	"strings"
	"testing"

	"github.com/croftvale/croftvale/tomlfile"
	"github.com/stretchr/testify/require"
)

const goodSource = `
[policy]
prefer = "bytes"
[limits]
max_body = "1MiB"
[[teams]]
name = "zurich"
share = 2.0
keys = ["sha256:` + "0000000000000000000000000000000000000000000000000000000000000000" + `"]
[[works]]
name = "report"
kind = "model"
path = "/v1/completions"
repeatable = true
[[servers]]
name = "engine-1"
hall = "a"
agent = "10.0.0.1:7000"
serve = "10.0.0.1:7001"
address = "10.0.0.1:8000"
slots = 8
works = ["report"]
`

// TestParseGood checks that a valid bundle survives Pack and Unpack.
func TestParseGood(t *testing.T) {
	b, err := Parse("fleet.toml", []byte(goodSource))
	require.NoError(t, err)
	require.Equal(t, 2.0, b.Teams[0].Share)
	digest, content := Pack(b)
	back, err := Unpack(content, digest)
	require.NoError(t, err)
	require.Equal(t, DigestOf(b), DigestOf(back))
	require.Equal(t, PreferBytes, back.WithDefaults().Policy.Prefer)
}

// TestOpenRefusesOtherContent checks that Unpack rejects an intact bundle that
// has another digest.
func TestOpenRefusesOtherContent(t *testing.T) {
	b, err := Parse("fleet.toml", []byte(goodSource))
	require.NoError(t, err)
	digest, _ := Pack(b)
	b.Teams[0].Share = 9
	_, other := Pack(b)
	_, err = Unpack(other, digest)
	require.ErrorIs(t, err, ErrDigest)
}

// TestParseBad checks that each kind of problem is reported with file, line, key
// and remedy.
func TestParseBad(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`share = 2.0`, `share = 0.0`, "fleet.toml:8: teams[0].share = 0: write a number above 0"},
		{`share = 2.0`, `share = nan`, "teams[0].share = NaN"},
		{`share = 2.0`, `weight = 2.0`, "fleet.toml:8: teams.weight: no such key"},
		{`prefer = "bytes"`, `prefer = "speed"`, `fleet.toml:3: policy.prefer = speed: write "gap" or "bytes"`},
		{`prefer = "bytes"`, `sharing = "all"`, "policy.sharing = all"},
		{`prefer = "bytes"`, `claim_ahead = -1`, "policy.claim_ahead = -1"},
		{`prefer = "bytes"`, `share_every = "soon"`, "fleet.toml:3: policy.share_every: "},
		{`max_body = "1MiB"`, `max_body = "1"`, "not a size"},
		{`max_body = "1MiB"`, `max_waiting = -3`, "limits.max_waiting = -3"},
		{`max_body = "1MiB"`, `retry_budget = 2.0`, "limits.retry_budget = 2"},
		{`kind = "model"`, `kind = "batch"`, `works[0].kind = batch: write "model" or "app"`},
		{`path = "/v1/completions"`, `path = "v1"`, "works[0].path = v1"},
		{`repeatable = true`, `class = "soon"`, "works[0].class = soon"},
		{`name = "report"`, `name = "re port"`, "works[0].name"},
		{`keys = ["sha256:00`, `keys = ["sha1:00`, "teams[0].keys = sha1:"},
		{`hall = "a"`, `hall = ""`, "servers[0].hall"},
		{`agent = "10.0.0.1:7000"`, `agent = "host:7000"`, "not an address; write an IP number"},
		{`slots = 8`, `slots = 0`, "servers[0].slots = 0"},
		{`works = ["report"]`, `works = []`, "servers[0].works = none"},
		{`works = ["report"]`, `works = ["rapport"]`, "servers[0].works = rapport: no [[works]] table has this name"},
		{`[limits]`, `[limits`, "fleet.toml:4"},
		{goodSource, ``, "teams = none: add at least one [[teams]] table"},
		{`[[works]]`, "[[teams]]\nname = \"zurich\"\nshare = 1.0\n[[works]]", "teams[1].name = zurich: duplicate name"},
	}
	for _, c := range cases {
		t.Run(c.new, func(t *testing.T) {
			source := strings.Replace(goodSource, c.old, c.new, 1)
			_, err := Parse("fleet.toml", []byte(source))
			require.ErrorContains(t, err, c.want)
			var problems tomlfile.Problems
			require.ErrorAs(t, err, &problems)
		})
	}
}

// TestParseNamesAllFaults checks that one call reports all problems, not only the
// first.
func TestParseNamesAllFaults(t *testing.T) {
	source := strings.NewReplacer("share = 2.0", "share = -1.0", "slots = 8", "slots = 0").Replace(goodSource)
	_, err := Parse("fleet.toml", []byte(source))
	var problems tomlfile.Problems
	require.ErrorAs(t, err, &problems)
	require.Len(t, problems, 2)
}

// FuzzParse checks that Parse returns an error for any malformed source and does
// not panic, and that a bundle it accepts survives Pack and Unpack.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodSource))
	f.Add([]byte("[[teams]]\n[[teams.x]]"))
	f.Add([]byte("policy = 1\n[policy]"))
	f.Fuzz(func(t *testing.T, source []byte) {
		b, err := Parse("f", source)
		if err != nil {
			return
		}
		digest, content := Pack(b)
		_, err = Unpack(content, digest)
		require.NoError(t, err)
	})
}

// FuzzOpen checks that Unpack accepts only content with the given digest.
func FuzzOpen(f *testing.F) {
	b, err := Parse("f", []byte(goodSource))
	require.NoError(f, err)
	digest, content := Pack(b)
	f.Add(content)
	f.Add(content[:len(content)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := Unpack(data, digest); err == nil {
			require.Equal(t, digest, DigestOf(got))
		}
	})
}
