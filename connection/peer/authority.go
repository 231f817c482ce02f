package peer

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
)

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	// clockSkewAllowance is how long before its issue a certificate becomes valid.
	// Without it, a process whose clock is behind would refuse a new certificate.
	clockSkewAllowance = 5 * time.Minute

	secretFileMode = 0o600
	publicFileMode = 0o644
)

const (
	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

// Authority is the certificate authority of one deployment.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a certificate that is valid
// for ten years.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	template, err := newTemplate("azurerouter authority", now.Add(-clockSkewAllowance), now.Add(authorityLifetime))
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, errors.Wrap(err, "parse authority certificate")
}

// LoadAuthority reads the files written by WriteAuthority. The error contains the
// name of the file that is invalid.
func LoadAuthority(certificateFile, keyFile string) (*Authority, error) {
	der, err := readPEM(certificateFile, pemCertificate)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, certificateFile)
	}
	if der, err = readPEM(keyFile, pemPrivateKey); err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, errors.Wrap(err, keyFile)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, errors.Newf("the key in %s does not match the certificate in %s", keyFile, certificateFile)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// WriteAuthority writes the certificate, which every process needs, and the
// private key, which only the issuer of certificates needs.
func (a *Authority) WriteAuthority(certificateFile, keyFile string) error {
	if err := writeKey(keyFile, a.key); err != nil {
		return err
	}
	return writePEM(certificateFile, pemCertificate, a.certificate.Raw, publicFileMode)
}

// Issue writes a new key and a certificate for it, valid from shortly before
// now until notAfter, to files.Key and files.Certificate. Each file is replaced
// atomically, but not both together: a process that reads the new key with the old
// certificate keeps its earlier identity until it reads both new files.
func (a *Authority) Issue(files KeyFiles, name string, now, notAfter time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrapf(err, "generate key of %s", name)
	}
	template, err := newTemplate(name, now.Add(-clockSkewAllowance), notAfter)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return errors.Wrapf(err, "certificate of %s", name)
	}
	if err := writeKey(files.Key, key); err != nil {
		return err
	}
	return writePEM(files.Certificate, pemCertificate, der, publicFileMode)
}

func newTemplate(name string, notBefore, notAfter time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 128))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    notBefore,
		NotAfter:     notAfter,
	}, errors.Wrap(err, "generate certificate serial number")
}

func writeKey(name string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, name)
	}
	return writePEM(name, pemPrivateKey, der, secretFileMode)
}

// writePEM writes a temporary file and renames it, so that no reader sees a partly
// written file.
func writePEM(name, kind string, der []byte, mode os.FileMode) error {
	tempFile, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(tempFile.Name()) // fails after the rename, as intended
	err = errors.CombineErrors(tempFile.Chmod(mode), pem.Encode(tempFile, &pem.Block{Type: kind, Bytes: der}))
	if err = errors.CombineErrors(err, tempFile.Close()); err != nil {
		return errors.Wrap(err, name)
	}
	return os.Rename(tempFile.Name(), name)
}

func readPEM(name, kind string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return nil, errors.Newf("%s holds no PEM block of type %s", name, kind)
	}
	return block.Bytes, nil
}
