package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"

	"sliphead/internal/fault"
	"sliphead/internal/logging"
	"sliphead/internal/wire"
)

// authority issues certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return &authority{certificate: certificate, key: key}
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	must.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue writes the key files of a node into a new directory.
func (a *authority) issue(t *testing.T, name string, datagramKey byte) Security {
	t.Helper()
	directory := t.TempDir()
	security := Security{
		CertificateFile: filepath.Join(directory, "certificate"), KeyFile: filepath.Join(directory, "key"),
		AuthorityFile: filepath.Join(directory, "authority"), DatagramKeyFile: filepath.Join(directory, "datagram"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	writePEM(t, security.CertificateFile, "CERTIFICATE", der)
	writePEM(t, security.KeyFile, "PRIVATE KEY", keyDER)
	writePEM(t, security.AuthorityFile, "CERTIFICATE", a.certificate.Raw)
	writeKeys(t, security.DatagramKeyFile, datagramKey)
	return security
}

// writeKeys writes datagram keys that differ in their first byte.
func writeKeys(t *testing.T, file string, keys ...byte) {
	t.Helper()
	var text string
	for _, key := range keys {
		bytes := make([]byte, minKeyBytes)
		bytes[0] = key
		text += hex.EncodeToString(bytes) + "\n"
	}
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
}

func withSecurity(security Security) func(*Config) {
	return func(config *Config) {
		config.Security = security
		config.Limits.BackoffBase = time.Nanosecond
		config.Limits.BackoffMax = time.Nanosecond
	}
}

func pingMessage(from string) wire.Envelope {
	return wire.Envelope{From: from, Ping: &wire.Ping{Number: 1}}
}

func TestAuthenticatedPeersExchangeMessages(t *testing.T) {
	fleet := newAuthority(t)
	alpha := startNode(t, "alpha", withSecurity(fleet.issue(t, "alpha", 1)))
	beta := startNode(t, "beta", withSecurity(fleet.issue(t, "beta", 1)))
	alpha.Send(beta.Address(), stagedMessage("alpha", 3))
	must.Eq(t, 3, beta.awaitMessage(t, "staged").Envelope.Staged.Version.Revision)
	beta.SendDatagram(alpha.Address(), pingMessage("beta"))
	alpha.awaitMessage(t, "ping")
}

func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	fleet := newAuthority(t)
	other := newAuthority(t).issue(t, "alpha", 1)
	other.AuthorityFile = fleet.issue(t, "alpha", 1).AuthorityFile
	for name, security := range map[string]Security{
		"plain":           {Plain: true},
		"other authority": other,
		"other name":      fleet.issue(t, "beta", 1),
	} {
		t.Run(name, func(t *testing.T) {
			events := &logBuffer{}
			victim := startNode(t, "victim", func(config *Config) {
				withSecurity(fleet.issue(t, "victim", 9))(config)
				config.Logger = logging.New(events, log.InfoLevel)
			})
			intruder := startNode(t, "alpha", withSecurity(security))
			intruder.Send(victim.Address(), stagedMessage("alpha", 1))
			intruder.SendDatagram(victim.Address(), pingMessage("alpha"))
			victim.awaitCounters(t, func(counters Counters) bool {
				return counters.StreamsClosedForFault > 0 && counters.DatagramsRefused == 1
			})
			victim.awaitCounters(t, func(Counters) bool { return events.count("cause=authentication") == 2 })
			must.Eq(t, 0, victim.Counters().MessagesReceived)
		})
	}
}

// A dialer must not send any message to a listener that it cannot authenticate.
func TestDialerRejectsUnauthenticatedListener(t *testing.T) {
	alpha := startNode(t, "alpha", withSecurity(newAuthority(t).issue(t, "alpha", 1)))
	impostor := startNode(t, "impostor", withSecurity(newAuthority(t).issue(t, "impostor", 1)))
	alpha.Send(impostor.Address(), stagedMessage("alpha", 1))
	alpha.awaitCounters(t, func(counters Counters) bool { return counters.Dropped == 1 })
	must.Eq(t, 0, alpha.Counters().StreamsOpened)
	must.Eq(t, 0, impostor.Counters().MessagesReceived)
}

// expireModTimes changes the modification times of files and makes the next use of the
// credentials check them.
func expireModTimes(t *testing.T, credentials *credentials, files ...string) {
	t.Helper()
	for _, file := range files {
		later := time.Now().Add(time.Hour)
		must.NoError(t, os.Chtimes(file, later, later))
	}
	credentials.certificate.lastCheck, credentials.authority.lastCheck, credentials.keys.lastCheck = time.Time{}, time.Time{}, time.Time{}
}

func TestValidKeyFilesAreReloadedAndInvalidOnesIgnored(t *testing.T) {
	fleet, next := newAuthority(t), newAuthority(t)
	security := fleet.issue(t, "alpha", 1)
	events := &logBuffer{}
	loaded, err := loadCredentials(security, newLogLimiter(logging.New(events, log.InfoLevel)))
	must.NoError(t, err)
	before := loaded.certificate.current()

	for _, file := range []string{security.CertificateFile, security.AuthorityFile, security.DatagramKeyFile} {
		must.NoError(t, os.WriteFile(file, []byte("half a fi"), 0o600))
	}
	expireModTimes(t, loaded, security.CertificateFile, security.AuthorityFile, security.DatagramKeyFile)
	must.Eq(t, before, loaded.certificate.current())
	must.NotNil(t, loaded.authority.current())
	must.SliceLen(t, 1, loaded.keys.current())
	must.Eq(t, 3, events.count("event=transport.keysNotReloaded"))

	renewed := next.issue(t, "alpha", 2)
	for from, to := range map[string]string{
		renewed.CertificateFile: security.CertificateFile, renewed.KeyFile: security.KeyFile, renewed.AuthorityFile: security.AuthorityFile,
	} {
		must.NoError(t, os.Rename(from, to))
	}
	writeKeys(t, security.DatagramKeyFile, 2, 1)
	expireModTimes(t, loaded, security.CertificateFile, security.DatagramKeyFile)
	must.NotEq(t, before.Certificate[0], loaded.certificate.current().Certificate[0])
	must.SliceLen(t, 2, loaded.keys.current())
}

func TestDatagramKeyRotation(t *testing.T) {
	holder := func(keys ...byte) *credentials {
		file := filepath.Join(t.TempDir(), "keys")
		writeKeys(t, file, keys...)
		loaded := &credentials{keys: newReloadedValue(readDatagramKeys, newLogLimiter(logging.Discard()), file)}
		must.NoError(t, loaded.keys.load())
		return loaded
	}
	old, both, renewed := holder(1), holder(2, 1), holder(2)
	line := []byte("{}\n")
	for _, sender := range []*credentials{old, both, renewed} {
		opened, err := both.verifyTag(sender.appendTag([]byte("{}\n")))
		must.NoError(t, err)
		must.Eq(t, line, opened)
	}
	_, err := renewed.verifyTag(old.appendTag([]byte("{}\n")))
	must.Eq(t, causeAuthentication, causeOf(err))
	_, err = old.verifyTag([]byte("short"))
	must.Error(t, err)
}

func TestInvalidSecuritySettingsAreRejected(t *testing.T) {
	valid := newAuthority(t).issue(t, "alpha", 1)
	short := valid
	short.DatagramKeyFile = filepath.Join(t.TempDir(), "short")
	must.NoError(t, os.WriteFile(short.DatagramKeyFile, []byte("abcd\n"), 0o600))
	both := valid
	both.Plain = true
	swapped := valid
	swapped.KeyFile = valid.AuthorityFile
	for name, security := range map[string]Security{
		"no files": {}, "missing files": {CertificateFile: "nowhere", KeyFile: "nowhere"}, "short key": short, "plain and keys": both, "swapped files": swapped,
	} {
		_, err := loadCredentials(security, newLogLimiter(logging.Discard()))
		must.Eq(t, fault.Settings, fault.KindOf(err), must.Sprint(name))
	}
}

// Peers that connect and send nothing must not occupy streams of the listener beyond
// the handshake timeout, neither accepted nor rejected ones.
func TestUnresponsivePeersDoNotOccupyStreams(t *testing.T) {
	victim := startNode(t, "victim", func(config *Config) {
		withSecurity(newAuthority(t).issue(t, "victim", 1))(config)
		config.Limits.MaxStreams = 2
		config.Limits.HandshakeTimeout = 50 * time.Millisecond
	})
	for range 10 {
		conn, err := net.Dial("tcp", victim.Address())
		must.NoError(t, err)
		defer conn.Close()
	}
	victim.awaitCounters(t, func(counters Counters) bool {
		return counters.StreamsAccepted+counters.StreamsRefused == 10 && counters.StreamsIn == 0
	})
}
