package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// KeyFiles holds the paths of the PEM files of a process's identity.
type KeyFiles struct {
	// Authority is the certificate of the deployment's own authority. Peers
	// without a certificate signed by it are refused.
	Authority string `json:"authority"`
	// Certificate is the certificate of the process.
	Certificate string `json:"certificate"`
	// Key is the private key of the process.
	Key string `json:"key"`
}

// defaultReloadInterval bounds the time until new certificate files are used.
const defaultReloadInterval = 10 * time.Second

// Identity provides the certificate of a process and verifies those of its peers.
// It reloads the files when they change, for new connections only.
type Identity struct {
	// ReloadInterval is the minimum time between two checks of the files for
	// changes. It must not be set while connections exist.
	ReloadInterval time.Duration

	files KeyFiles

	mu             sync.Mutex
	lastCheck      time.Time
	modTimes       [3]time.Time
	authority      *x509.CertPool
	ownCertificate *tls.Certificate
	reloadErr      error
}

// LoadIdentity reads the files. The error states which of them is invalid.
func LoadIdentity(files KeyFiles) (*Identity, error) {
	id := &Identity{ReloadInterval: defaultReloadInterval, files: files}
	if err := id.load(); err != nil {
		return nil, err
	}
	return id, nil
}

// TLS returns the configuration for both sides of a connection.
func (id *Identity) TLS() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ClientAuth:           tls.RequireAnyClientCert,
		InsecureSkipVerify:   true, // VerifyConnection verifies the peer instead, because peers are dialled by IP address and have no host name
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return id.certificate(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return id.certificate(), nil },
		VerifyConnection:     id.verify,
	}
}

// ReloadError returns the error of the last reload, after which the earlier
// certificate stays in use, or nil if the reload succeeded.
func (id *Identity) ReloadError() error {
	id.mu.Lock()
	defer id.mu.Unlock()
	return id.reloadErr
}

func (id *Identity) certificate() *tls.Certificate {
	id.mu.Lock()
	defer id.mu.Unlock()
	id.reloadIfChanged()
	return id.ownCertificate
}

func (id *Identity) verify(state tls.ConnectionState) error {
	id.mu.Lock()
	id.reloadIfChanged()
	roots := id.authority
	id.mu.Unlock()
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "peer certificate")
}

// reloadIfChanged reloads the files if they have changed since the last load. It
// keeps the earlier identity if they cannot be read, which can happen while they
// are being replaced one by one.
func (id *Identity) reloadIfChanged() {
	if time.Since(id.lastCheck) < id.ReloadInterval {
		return
	}
	id.lastCheck = time.Now()
	if id.fileModTimes() != id.modTimes {
		id.reloadErr = id.load()
	}
}

// fileModTimes returns the modification times of the files, zero for a file that
// cannot be accessed.
func (id *Identity) fileModTimes() (modTimes [3]time.Time) {
	for i, name := range []string{id.files.Authority, id.files.Certificate, id.files.Key} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

func (id *Identity) load() error {
	modTimes := id.fileModTimes()
	pem, err := os.ReadFile(id.files.Authority)
	if err != nil {
		return errors.Wrap(err, "authority certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Newf("authority certificate %s holds no PEM certificate", id.files.Authority)
	}
	own, err := tls.LoadX509KeyPair(id.files.Certificate, id.files.Key)
	if err != nil {
		return errors.Wrap(err, "own certificate")
	}
	id.authority, id.ownCertificate, id.modTimes, id.lastCheck = pool, &own, modTimes, time.Now()
	return nil
}
