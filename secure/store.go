package secure

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of keys and certificates; each names its remedy.
var (
	// ErrFiles means that the files can't be used.
	ErrFiles = errors.New("TLS files can't be used; give a PEM certificate, its key and the authority's certificate in [tls]")
	// ErrStranger means that the other side's certificate is not of this fleet.
	ErrStranger = errors.New("the peer's certificate is not signed by the fleet's authority; issue one with it, or correct tls.authority")
	// ErrExpired means that the other side's certificate is out of date.
	ErrExpired = errors.New("the peer's certificate has expired or is not valid yet; renew it and check the clocks")
	// ErrWrongPeer means that the other side is another process than expected.
	ErrWrongPeer = errors.New("the peer's certificate names another process; check addresses and certificates")
)

// reloadEvery bounds how often the files are looked at.
const reloadEvery = time.Second

// Files says where the keys are.
type Files struct {
	Cert      string
	Key       string
	Authority string
}

// Store holds the keys of one process. It is safe for use by many goroutines.
type Store struct {
	files   Files
	mu      sync.Mutex
	looked  time.Time
	changed time.Time // newest modification that is loaded
	cert    tls.Certificate
	pool    *x509.CertPool
	err     error // why the newest files could not be loaded
}

// NewStore reads the files once and fails where they can't be used.
func NewStore(f Files) (*Store, error) {
	s := &Store{files: f}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

// Err returns why the newest files could not be loaded, or nil. The keys that
// were loaded before stay in use.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// current returns the keys, read again if the files have changed.
func (s *Store) current() (tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.looked) >= reloadEvery {
		s.looked = now
		if s.newest().After(s.changed) {
			s.err = s.load()
		}
	}
	return s.cert, s.pool
}

// newest returns when one of the files last changed.
func (s *Store) newest() time.Time {
	var newest time.Time
	for _, path := range []string{s.files.Cert, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (s *Store) load() error {
	newest := s.newest()
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "tls.cert %s, tls.key %s", s.files.Cert, s.files.Key), ErrFiles)
	}
	pem, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "tls.authority %s", s.files.Authority), ErrFiles)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Wrapf(ErrFiles, "tls.authority %s holds no certificate", s.files.Authority)
	}
	s.cert, s.pool, s.changed = cert, pool, newest
	return nil
}
