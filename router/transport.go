package router

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/croftvale/croftvale/secure"
	"github.com/croftvale/croftvale/wire"
)

// newTransport returns the HTTP transport for calls to agents.
func (r *Router) newTransport() *http.Transport {
	t := &http.Transport{
		DialContext:         r.dial,
		MaxIdleConnsPerHost: maxIdleConnsPerAgent,
		IdleConnTimeout:     agentIdleTimeout,
		DisableCompression:  true,
	}
	if r.secure != nil {
		t.DialTLSContext = r.dialAgent
	}
	return t
}

// dialAgent opens a TLS connection to an agent. It reads the current keys for each
// connection.
func (r *Router) dialAgent(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := r.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, r.secure.Client(secure.Identity{Role: string(wire.RoleAgent)}))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close() // the handshake's error is returned
		return nil, err
	}
	return conn, nil
}
