package fleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

const certificateLifetime = 24 * time.Hour

// Authority is a certificate authority that signs the certificates of a fleet.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// NewAuthority creates a certificate authority and writes its certificate to a PEM file.
func NewAuthority(file string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generating a key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "laburnum test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "creating the CA certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parsing the CA certificate")
	}
	return &Authority{certificate: certificate, key: key, serial: 1}, writePEM(file, "CERTIFICATE", der)
}

// Issue creates a key and a certificate for a node and writes both to PEM files.
func (a *Authority) Issue(name, ip, certificateFile, keyFile string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generating a key")
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return eris.Wrap(err, "creating a certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "encoding a key")
	}
	if err := writePEM(certificateFile, "CERTIFICATE", der); err != nil {
		return err
	}
	return writePEM(keyFile, "EC PRIVATE KEY", keyDER)
}

func writePEM(file, kind string, der []byte) error {
	encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return eris.Wrapf(os.WriteFile(file, encoded, 0o600), "writing %s", file)
}
