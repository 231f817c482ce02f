package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// KeyFiles names the PEM files of a process's identity.
type KeyFiles struct {
	// Authority is the certificate of the deployment's own authority. A peer
	// without a certificate signed by it is refused.
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// defaultReloadInterval bounds how long a replaced certificate stays unused.
const defaultReloadInterval = 10 * time.Second

// Identity serves the certificate of a process and checks those of its peers.
// It reads the files again when they change, for new connections only.
type Identity struct {
	// ReloadInterval is the least time between two looks at the files. It must
	// not be changed once connections exist.
	ReloadInterval time.Duration

	files KeyFiles

	mu        sync.Mutex
	checked   time.Time
	stamp     [3]time.Time
	authority *x509.CertPool
	own       *tls.Certificate
	reloadErr error
}

// LoadIdentity reads the files. The error names the file at fault.
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
		InsecureSkipVerify:   true, // replaced by VerifyConnection: peers are known by IP number, not by host name
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return id.certificate(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return id.certificate(), nil },
		VerifyConnection:     id.verify,
	}
}

// ReloadError returns why the last reload kept the earlier certificate, or nil.
func (id *Identity) ReloadError() error {
	id.mu.Lock()
	defer id.mu.Unlock()
	return id.reloadErr
}

func (id *Identity) certificate() *tls.Certificate {
	id.mu.Lock()
	defer id.mu.Unlock()
	id.reloadIfChanged()
	return id.own
}

func (id *Identity) verify(state tls.ConnectionState) error {
	id.mu.Lock()
	id.reloadIfChanged()
	roots := id.authority
	id.mu.Unlock()
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "peer certificate")
}

// reloadIfChanged keeps the earlier identity if the files cannot be read, as
// may happen halfway through a replacement.
func (id *Identity) reloadIfChanged() {
	if time.Since(id.checked) < id.ReloadInterval {
		return
	}
	id.checked = time.Now()
	if id.stamps() != id.stamp {
		id.reloadErr = id.load()
	}
}

func (id *Identity) stamps() (stamps [3]time.Time) {
	for i, name := range []string{id.files.Authority, id.files.Certificate, id.files.Key} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func (id *Identity) load() error {
	stamp := id.stamps()
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
	id.authority, id.own, id.stamp, id.checked = pool, &own, stamp, time.Now()
	return nil
}
