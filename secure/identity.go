package secure

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/cockroachdb/errors"
)

// Identity is what a certificate says of a process. Empty fields match any.
type Identity struct {
	Name string // the common name
	Role string // an organizational unit
}

// Server returns the configuration for accepting connections: only processes
// of the fleet with the role may connect.
func (s *Store) Server(peer Identity) *tls.Config {
	cert, _ := s.current()
	return &tls.Config{
		Certificates:     []tls.Certificate{cert},
		ClientAuth:       tls.RequireAnyClientCert,
		MinVersion:       tls.VersionTLS13,
		VerifyConnection: s.verifier(peer, x509.ExtKeyUsageClientAuth),
	}
}

// Client returns the configuration for connecting to a process of the fleet.
// Processes are dialled by IP number and known by name, so the usual check of
// the host name is replaced by one of the identity.
func (s *Store) Client(peer Identity) *tls.Config {
	cert, _ := s.current()
	return &tls.Config{
		Certificates:       []tls.Certificate{cert},
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection checks chain, time and name
		VerifyConnection:   s.verifier(peer, x509.ExtKeyUsageServerAuth),
	}
}

func (s *Store) verifier(peer Identity, use x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		_, pool := s.current()
		return verify(state.PeerCertificates, pool, peer, use)
	}
}

func verify(chain []*x509.Certificate, pool *x509.CertPool, peer Identity, use x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return ErrStranger
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	leaf := chain[0]
	_, err := leaf.Verify(x509.VerifyOptions{Roots: pool, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{use}})
	if err != nil {
		return classify(err, leaf)
	}
	if !IdentityOf(leaf).matches(peer) {
		return errors.Wrapf(ErrWrongPeer, "certificate of %q", leaf.Subject.CommonName)
	}
	return nil
}

func classify(err error, leaf *x509.Certificate) error {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return errors.Wrapf(ErrExpired, "certificate of %q, valid until %s", leaf.Subject.CommonName, leaf.NotAfter)
	}
	return errors.Wrapf(ErrStranger, "certificate of %q", leaf.Subject.CommonName)
}

// IdentityOf returns whom a certificate names. Of several organizational units
// the first is the role.
func IdentityOf(c *x509.Certificate) Identity {
	id := Identity{Name: c.Subject.CommonName}
	if len(c.Subject.OrganizationalUnit) > 0 {
		id.Role = c.Subject.OrganizationalUnit[0]
	}
	return id
}

func (i Identity) matches(want Identity) bool {
	return slices.Contains([]string{"", i.Name}, want.Name) && slices.Contains([]string{"", i.Role}, want.Role)
}
