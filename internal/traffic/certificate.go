package traffic

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/apex/log"

	"sliphead/internal/fault"
	"sliphead/internal/logging"
)

// certificateCheckInterval is the minimum time between two checks of the files.
const certificateCheckInterval = 10 * time.Second

// Certificates serves a certificate from files and reloads it when they change, so that the
// certificate can be renewed while the node runs. It is safe for concurrent use.
type Certificates struct {
	certificateFile, keyFile string
	logger                   log.Interface

	mutex     sync.Mutex
	current   *tls.Certificate
	modified  time.Time // modification time of the loaded files
	lastCheck time.Time
}

// LoadCertificates reads a PEM-encoded certificate chain and its private key. It returns a
// fault of kind Settings if either cannot be read.
func LoadCertificates(certificateFile, keyFile string, logger log.Interface) (*Certificates, error) {
	c := &Certificates{certificateFile: certificateFile, keyFile: keyFile, logger: logger}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.lastCheck = time.Now()
	return c, nil
}

// TLS returns the TLS configuration of the listener for callers: HTTP/1.1 over TLS 1.2 or later.
func (c *Certificates) TLS() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.certificate(time.Now()), nil },
	}
}

// certificate returns the latest certificate that could be loaded. While the files are
// invalid, the previous certificate stays in use.
func (c *Certificates) certificate(now time.Time) *tls.Certificate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.lastCheck) < certificateCheckInterval {
		return c.current
	}
	c.lastCheck = now
	if c.lastModified().Equal(c.modified) {
		return c.current
	}
	if err := c.load(); err != nil {
		logging.Problem(c.logger, "certificate.refused", err, nil)
	}
	return c.current
}

// load reads both files. On an error the current certificate is retained.
func (c *Certificates) load() error {
	changed := c.lastModified()
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "provide a certificate and its private key, both PEM-encoded", "load certificate %s and key %s", c.certificateFile, c.keyFile)
	}
	c.current = &pair
	c.modified = changed
	return nil
}

// lastModified returns the later modification time of the two files, or zero if one is missing.
func (c *Certificates) lastModified() time.Time {
	certificate, err := os.Stat(c.certificateFile)
	if err != nil {
		return time.Time{}
	}
	key, err := os.Stat(c.keyFile)
	if err != nil {
		return time.Time{}
	}
	if key.ModTime().After(certificate.ModTime()) {
		return key.ModTime()
	}
	return certificate.ModTime()
}
