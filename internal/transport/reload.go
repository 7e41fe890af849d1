package transport

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"os"
	"strings"
	"sync"
	"time"

	"sliphead/internal/fault"
)

const (
	reloadInterval  = 3 * time.Second // minimum time between two checks of a file's modification time
	minKeyBytes     = 32              // minimum length of a datagram key: the size of the digest (RFC 2104)
	tagBytes        = 16              // length of the truncated HMAC: half of the digest (RFC 2104 section 5)
	maxKeyFileBytes = 1 << 20         // maximum size of a key file
)

// reloadedValue holds a value read from files and reads it again after one of them has
// changed. When the new files are invalid, the previous value stays in use. It is
// safe for concurrent use.
type reloadedValue[T any] struct {
	files   []string
	read    func(contents [][]byte) (T, error)
	limiter *logLimiter

	mutex     sync.Mutex
	value     T
	modTimes  []time.Time // modification times of the files that value was read from
	lastCheck time.Time   // last check for changes
}

// newReloadedValue returns a value that is not loaded yet: load must succeed before
// current is called.
func newReloadedValue[T any](read func([][]byte) (T, error), limiter *logLimiter, files ...string) *reloadedValue[T] {
	return &reloadedValue[T]{files: files, read: read, limiter: limiter}
}

// load reads the files.
func (r *reloadedValue[T]) load() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stamps, err := r.readModTimes()
	if err != nil {
		return err
	}
	return r.loadLocked(stamps)
}

// current returns the value. It reloads it first if a file has changed, and checks
// for changes at most once per reloadInterval.
func (r *reloadedValue[T]) current() T {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now := time.Now(); now.Sub(r.lastCheck) >= reloadInterval {
		r.lastCheck = now
		r.refreshLocked()
	}
	return r.value
}

// refreshLocked reloads the value if a file has changed, and logs a failure.
func (r *reloadedValue[T]) refreshLocked() {
	stamps, err := r.readModTimes()
	if err == nil && equalTimes(stamps, r.modTimes) {
		return
	}
	if err == nil {
		err = r.loadLocked(stamps)
	}
	if err != nil {
		r.limiter.log("transport.keysNotReloaded", r.files[0], err)
		return
	}
	r.limiter.resolve("transport.keysNotReloaded", r.files[0])
}

// loadLocked reads the files and replaces the value if they are valid.
func (r *reloadedValue[T]) loadLocked(stamps []time.Time) error {
	contents := make([][]byte, 0, len(r.files))
	for _, file := range r.files {
		content, err := os.ReadFile(file)
		if err != nil {
			return unreadableFileError(file, err)
		}
		contents = append(contents, content)
	}
	value, err := r.read(contents)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "replace it by a valid file", "the key file %s is invalid", r.files[0])
	}
	r.value, r.modTimes = value, stamps
	return nil
}

// readModTimes returns the current modification times of the files.
func (r *reloadedValue[T]) readModTimes() ([]time.Time, error) {
	stamps := make([]time.Time, 0, len(r.files))
	for _, file := range r.files {
		info, err := os.Stat(file)
		if err != nil {
			return nil, unreadableFileError(file, err)
		}
		if info.Size() > maxKeyFileBytes {
			return nil, fault.New(fault.Settings, "name the right file", "the key file %s has more than %d bytes", file, maxKeyFileBytes)
		}
		stamps = append(stamps, info.ModTime())
	}
	return stamps, nil
}

// unreadableFileError wraps an error of the file system.
func unreadableFileError(file string, err error) error {
	return fault.Wrap(err, fault.Settings, "name a readable file, or set security.plain in a test", "the key file %q cannot be read", file)
}

// equalTimes reports whether all modification times are equal.
func equalTimes(now, before []time.Time) bool {
	if len(now) != len(before) {
		return false
	}
	for index := range now {
		if !now[index].Equal(before[index]) {
			return false
		}
	}
	return true
}

// readCertificate parses a certificate chain and its private key, in this order.
func readCertificate(contents [][]byte) (*tls.Certificate, error) {
	pair, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, err
	}
	return &pair, nil
}

// readAuthority parses the certificates of authorities.
func readAuthority(contents [][]byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(contents[0]) {
		return nil, fault.New(fault.Settings, "write the authorities' certificates as PEM", "the file contains no certificate")
	}
	return pool, nil
}

// readDatagramKeys parses datagram keys, one per line.
func readDatagramKeys(contents [][]byte) ([][]byte, error) {
	var keys [][]byte
	for number, line := range strings.Split(strings.TrimSpace(string(contents[0])), "\n") {
		key, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil || len(key) < minKeyBytes {
			return nil, fault.New(fault.Settings, "write at least 32 random bytes in hexadecimal on each line",
				"line %d contains no valid key", number+1)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// appendTag appends the authentication code to a line. In plain mode it returns the line
// unchanged.
func (c *credentials) appendTag(line []byte) []byte {
	if c == nil {
		return line
	}
	return append(line, computeTag(c.keys.current()[0], line)...)
}

// verifyTag verifies a datagram's authentication code and returns the line without it.
// In plain mode it returns the datagram unchanged.
func (c *credentials) verifyTag(datagram []byte) ([]byte, error) {
	if c == nil {
		return datagram, nil
	}
	if len(datagram) > tagBytes {
		line, tag := datagram[:len(datagram)-tagBytes], datagram[len(datagram)-tagBytes:]
		for _, key := range c.keys.current() {
			if hmac.Equal(tag, computeTag(key, line)) {
				return line, nil
			}
		}
	}
	return nil, withCause(causeAuthentication, fault.New(fault.Peer, "check that all nodes have the same security.datagramKeyFile", "a datagram has no valid authentication code"))
}

// computeTag returns the HMAC-SHA256 of a line, truncated to tagBytes.
func computeTag(key, line []byte) []byte {
	code := hmac.New(sha256.New, key)
	code.Write(line)
	return code.Sum(nil)[:tagBytes]
}
