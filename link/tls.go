package link

import (
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/secure"
	"github.com/croftvale/croftvale/wire"
)

// ErrIdentityMismatch means that the name or role in a peer's hello differs from its
// certificate.
var ErrIdentityMismatch = errors.New("the peer's hello and its certificate disagree; give each process the certificate of its own name and role")

// client wraps a dialled connection in TLS if the fleet has keys.
func (o Options) client(raw net.Conn) net.Conn {
	if o.Secure == nil {
		return raw
	}
	return tls.Client(raw, o.Secure.Client(secure.Identity{}))
}

// listener wraps a listener in TLS if the fleet has keys.
func (o Options) listener(ln net.Listener) net.Listener {
	if o.Secure == nil {
		return ln
	}
	return tls.NewListener(ln, &tls.Config{
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return o.Secure.Server(secure.Identity{Role: string(o.AcceptRole)}), nil
		},
	})
}

// checkIdentity compares a peer's hello with its certificate.
func checkIdentity(raw net.Conn, h wire.Hello) error {
	conn, ok := raw.(*tls.Conn)
	if !ok {
		return nil
	}
	certs := conn.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return ErrIdentityMismatch
	}
	id := secure.IdentityOf(certs[0])
	if id.Name != string(h.Name) || id.Role != string(h.Role) {
		return errors.Wrapf(ErrIdentityMismatch, "hello of %s %q, certificate of %s %q", h.Role, h.Name, id.Role, id.Name)
	}
	return nil
}
