package lab

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/settings"
)

// Authority issues certificates to the processes of a lab.
type Authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	path string
}

// NewAuthority makes an authority whose files are kept in a folder.
func NewAuthority(dir, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make authority")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "make authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "make authority")
	}
	a := &Authority{dir: dir, key: key, cert: cert, path: filepath.Join(dir, name+"-authority.crt")}
	return a, writePEM(a.path, "CERTIFICATE", der)
}

// Issue writes a certificate for a process, valid until a time, and returns
// the settings that name it.
func (a *Authority) Issue(name fleet.Name, role string, until time.Time) (settings.TLS, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return settings.TLS{}, errors.Wrap(err, "make key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: string(name), OrganizationalUnit: []string{role}},
		NotBefore:    time.Now().Add(-time.Hour), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return settings.TLS{}, errors.Wrap(err, "issue certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return settings.TLS{}, errors.Wrap(err, "write key")
	}
	t := settings.TLS{
		Cert:      filepath.Join(a.dir, string(name)+".crt"),
		Key:       filepath.Join(a.dir, string(name)+".key"),
		Authority: a.path,
	}
	if err := writePEM(t.Key, "EC PRIVATE KEY", keyDER); err != nil {
		return t, err
	}
	return t, writePEM(t.Cert, "CERTIFICATE", der)
}

func writePEM(path, kind string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(path, block, 0o600), "write PEM")
}
