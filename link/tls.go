package link

import (
	"crypto/tls"
	"net"
)

// client wraps a dialled connection; the certificate must name the IP number
// that was dialled unless the configuration says otherwise.
func client(raw net.Conn, address string, cfg *tls.Config) net.Conn {
	if cfg.ServerName == "" {
		cfg = cfg.Clone()
		host, _, _ := net.SplitHostPort(address)
		cfg.ServerName = host
	}
	return tls.Client(raw, cfg)
}
