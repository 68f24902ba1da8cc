package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const routerFile = `name = "router-1"
hall = "a"
admin = "127.0.0.1:9090"
listen = "127.0.0.1:8080"
links = "127.0.0.1:7000"
signoffs = 1
[platform]
address = "127.0.0.1:8000"
watch = true
[[operators]]
name = "anna"
key = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
`

const agentFile = `name = "engine-1"
hall = "a"
admin = "127.0.0.1:9090"
links = "127.0.0.1:7000"
serve = "127.0.0.1:7001"
[[operators]]
name = "anna"
key = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadGood(t *testing.T) {
	r, err := LoadRouter(write(t, routerFile))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:8080", r.Listen.String())
	require.Len(t, r.Verifier().Operators, 1)
	a, err := LoadAgent(write(t, agentFile))
	require.NoError(t, err)
	require.EqualValues(t, "engine-1", a.Name)
	text, err := Check(write(t, agentFile))
	require.NoError(t, err)
	require.Contains(t, text, "agent engine-1 in hall a")
	text, err = Check(write(t, routerFile))
	require.NoError(t, err)
	require.Contains(t, text, "router router-1 in hall a")
}

// TestLoadBad holds that each bad setting is named with file, key and remedy.
func TestLoadBad(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`name = "router-1"`, `name = ""`, `name = "": give the process a name`},
		{`hall = "a"`, `hall = ""`, `s.toml:2: hall = ""`},
		{`admin = "127.0.0.1:9090"`, ``, "admin = "},
		{`listen = "127.0.0.1:8080"`, `listen = "localhost:8080"`, "not an address; write an IP number"},
		{`listen = "127.0.0.1:8080"`, `listen = "127.0.0.1"`, "not an address"},
		{`links = "127.0.0.1:7000"`, ``, "links = "},
		{`address = "127.0.0.1:8000"`, ``, "platform.address = "},
		{`watch = true`, `watch = "yes"`, "s.toml:9: platform.watch"},
		{`watch = true`, `poll = "5"`, "not a duration"},
		{`watch = true`, `polls = "5s"`, "s.toml:9: platform.polls: no such key"},
		{`signoffs = 1`, `signoffs = 2`, "s.toml:6: signoffs = 2: write a number from 0 to the number of operators"},
		{`signoffs = 1`, `drain = "-3s"`, "not a duration"},
		{`signoffs = 1`, `log.level = "loud"`, "log.level = loud"},
		{`watch = true`, "watch = true\n[tls]\ncert = \"/nowhere.crt\"", `tls.cert = "/nowhere.crt"`},
		{`key = "AAAA`, `key = "AA`, "not a public key"},
		{"[[operators]]\nname = \"anna\"", "[[operator]]\nname = \"anna\"", "no such key"},
	}
	for _, c := range cases {
		t.Run(c.new, func(t *testing.T) {
			require.Contains(t, routerFile, c.old)
			_, err := LoadRouter(write(t, strings.Replace(routerFile, c.old, c.new, 1)))
			require.ErrorContains(t, err, c.want)
			require.ErrorContains(t, err, "s.toml")
		})
	}
	_, err := LoadAgent(write(t, strings.Replace(agentFile, `serve = "127.0.0.1:7001"`, "", 1)))
	require.ErrorContains(t, err, "serve = ")
	_, err = LoadRouter("/nowhere/at/all.toml")
	require.ErrorContains(t, err, "give the path of a readable TOML file")
}

// FuzzLoad holds that no settings file, however broken, does more than fail.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(routerFile))
	f.Add([]byte(agentFile))
	f.Add([]byte("name = [[["))
	f.Fuzz(func(t *testing.T, text []byte) {
		path := write(t, string(text))
		_, _ = LoadRouter(path)
		_, _ = LoadAgent(path)
		_, _ = Check(path)
	})
}
