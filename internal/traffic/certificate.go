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

// certificateCheck is how often the files are looked at, at most.
const certificateCheck = 10 * time.Second

// Certificates serves a certificate from files and takes it anew when they
// change, so that it can be renewed while the node runs.
type Certificates struct {
	certificateFile, keyFile string
	logger                   log.Interface

	mutex   sync.Mutex
	current *tls.Certificate
	changed time.Time // when the files held were last written
	checked time.Time
}

// LoadCertificates reads a certificate chain and its key, both in PEM.
func LoadCertificates(certificateFile, keyFile string, logger log.Interface) (*Certificates, error) {
	c := &Certificates{certificateFile: certificateFile, keyFile: keyFile, logger: logger}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.checked = time.Now()
	return c, nil
}

// TLS returns the settings of a listener towards callers.
func (c *Certificates) TLS() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.certificate(time.Now()), nil },
	}
}

// certificate returns the newest certificate that could be read. While the
// files are wrong, the one before goes on to serve.
func (c *Certificates) certificate(now time.Time) *tls.Certificate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.checked) < certificateCheck {
		return c.current
	}
	c.checked = now
	if c.written().Equal(c.changed) {
		return c.current
	}
	if err := c.load(); err != nil {
		logging.Problem(c.logger, "certificate.refused", err, nil)
	}
	return c.current
}

// load reads both files; on an error all stays as it was.
func (c *Certificates) load() error {
	changed := c.written()
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "give a certificate and its key, both in PEM", "load certificate %s and key %s", c.certificateFile, c.keyFile)
	}
	c.current = &pair
	c.changed = changed
	return nil
}

// written returns when the newer of the files was written, zero if one is missing.
func (c *Certificates) written() time.Time {
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
