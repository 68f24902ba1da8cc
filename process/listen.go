package process

import (
	"net"

	"github.com/cockroachdb/errors"
)

// Listen opens an address of the settings; the error names its key.
func Listen(key, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	return ln, errors.Wrapf(err, "settings: %s = %q: choose an address of this host that is not in use", key, address)
}
