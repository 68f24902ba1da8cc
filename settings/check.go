package settings

import (
	"fmt"

	"github.com/cockroachdb/errors"
	toml "github.com/pelletier/go-toml/v2"
)

// Check reads a settings file of either role and says what it would run. A
// file with a serve address is an agent's, any other a router's.
func Check(path string) (string, error) {
	var keys map[string]any
	if _, err := load(path, &keys); err != nil {
		return "", err
	}
	if _, isAgent := keys["serve"]; isAgent {
		s, err := LoadAgent(path)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("%s: agent %s in hall %s, links on %s, requests on %s, admin on %s",
			path, s.Name, s.Hall, s.Links, s.Serve, s.Admin), nil
	}
	s, err := LoadRouter(path)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s: router %s in hall %s, callers on %s, links on %s, admin on %s, platform %s",
		path, s.Name, s.Hall, s.Listen, s.Links, s.Admin, s.Platform.Address), nil
}

// LogLevel returns the level to log at.
func (p Process) LogLevel() string {
	if p.Log.Level == "" {
		return "info"
	}
	return p.Log.Level
}

// Marshal spells settings as a file; tools that start processes use it.
func Marshal(v any) ([]byte, error) {
	out, err := toml.Marshal(v)
	return out, errors.Wrap(err, "spell settings")
}
