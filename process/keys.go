package process

import (
	"github.com/croftvale/croftvale/secure"
	"github.com/croftvale/croftvale/settings"
)

// Keys loads the keys that settings name, or returns nil where they name none.
func Keys(t settings.TLS) (*secure.Store, error) {
	if !t.On() {
		return nil, nil
	}
	return secure.NewStore(secure.Files(t))
}
