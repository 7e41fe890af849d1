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
	reloadInterval   = 3 * time.Second // between two looks at a file's time stamp
	minKeyBytes      = 32              // of a datagram key, the size of the digest (RFC 2104)
	tagBytes         = 16              // of the HMAC kept, half of the digest (RFC 2104 section 5)
	maxSecurityBytes = 1 << 20         // of a key file
)

// reloaded holds a value read from files and reads it again after one of them
// has changed. Broken new files leave the old value in place.
type reloaded[T any] struct {
	files   []string
	read    func(contents [][]byte) (T, error)
	limiter *logLimiter

	mutex  sync.Mutex
	value  T
	stamps []time.Time
	looked time.Time
}

// newReloaded returns a holder; load must succeed before current is called.
func newReloaded[T any](read func([][]byte) (T, error), limiter *logLimiter, files ...string) *reloaded[T] {
	return &reloaded[T]{files: files, read: read, limiter: limiter}
}

// load reads the files now.
func (r *reloaded[T]) load() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stamps, err := r.stampsNow()
	if err != nil {
		return err
	}
	return r.loadLocked(stamps)
}

// current returns the value, read again if a file has changed.
func (r *reloaded[T]) current() T {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now := time.Now(); now.Sub(r.looked) >= reloadInterval {
		r.looked = now
		r.refreshLocked()
	}
	return r.value
}

// refreshLocked reads the files again if one has changed.
func (r *reloaded[T]) refreshLocked() {
	stamps, err := r.stampsNow()
	if err == nil && sameStamps(stamps, r.stamps) {
		return
	}
	if err == nil {
		err = r.loadLocked(stamps)
	}
	if err != nil {
		r.limiter.log("transport.keysNotReloaded", r.files[0], err)
		return
	}
	r.limiter.settled("transport.keysNotReloaded", r.files[0])
}

// loadLocked reads the files and takes their value over if it is sound.
func (r *reloaded[T]) loadLocked(stamps []time.Time) error {
	contents := make([][]byte, 0, len(r.files))
	for _, file := range r.files {
		content, err := os.ReadFile(file)
		if err != nil {
			return unreadable(file, err)
		}
		contents = append(contents, content)
	}
	value, err := r.read(contents)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "put a sound file in its place", "the key file %s is wrong", r.files[0])
	}
	r.value, r.stamps = value, stamps
	return nil
}

// stampsNow returns the files' times of change.
func (r *reloaded[T]) stampsNow() ([]time.Time, error) {
	stamps := make([]time.Time, 0, len(r.files))
	for _, file := range r.files {
		info, err := os.Stat(file)
		if err != nil {
			return nil, unreadable(file, err)
		}
		if info.Size() > maxSecurityBytes {
			return nil, fault.New(fault.Settings, "name the right file", "the key file %s has more than %d bytes", file, maxSecurityBytes)
		}
		stamps = append(stamps, info.ModTime())
	}
	return stamps, nil
}

// unreadable types an error of the file system.
func unreadable(file string, err error) error {
	return fault.Wrap(err, fault.Settings, "name a readable file, or set security.plain in a test", "the key file %q cannot be read", file)
}

// sameStamps reports whether no file has changed.
func sameStamps(now, before []time.Time) bool {
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

// readCertificate parses a certificate and its key.
func readCertificate(contents [][]byte) (*tls.Certificate, error) {
	pair, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, err
	}
	return &pair, nil
}

// readAuthority parses certificates of authorities.
func readAuthority(contents [][]byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(contents[0]) {
		return nil, fault.New(fault.Settings, "write the authorities' certificates as PEM", "the file holds no certificate")
	}
	return pool, nil
}

// readDatagramKeys parses one key a line.
func readDatagramKeys(contents [][]byte) ([][]byte, error) {
	var keys [][]byte
	for number, line := range strings.Split(strings.TrimSpace(string(contents[0])), "\n") {
		key, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil || len(key) < minKeyBytes {
			return nil, fault.New(fault.Settings, "write at least 32 random bytes in hexadecimal on each line",
				"line %d holds no key", number+1)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// seal returns the line with its authentication code behind it, the line
// itself in plain mode.
func (c *credentials) seal(line []byte) []byte {
	if c == nil {
		return line
	}
	return append(line, tagOf(c.keys.current()[0], line)...)
}

// unseal checks a datagram's authentication code and returns the line.
func (c *credentials) unseal(datagram []byte) ([]byte, error) {
	if c == nil {
		return datagram, nil
	}
	if len(datagram) > tagBytes {
		line, tag := datagram[:len(datagram)-tagBytes], datagram[len(datagram)-tagBytes:]
		for _, key := range c.keys.current() {
			if hmac.Equal(tag, tagOf(key, line)) {
				return line, nil
			}
		}
	}
	return nil, refused(causeAuthentication, fault.New(fault.Peer, "check that all nodes hold the same security.datagramKeyFile", "a datagram is not authentic"))
}

// tagOf returns the truncated HMAC-SHA256 of a line.
func tagOf(key, line []byte) []byte {
	code := hmac.New(sha256.New, key)
	code.Write(line)
	return code.Sum(nil)[:tagBytes]
}
