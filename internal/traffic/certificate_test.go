package traffic

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"sliphead/internal/fault"
	"sliphead/internal/outcome"
)

// writeCertificate writes a self-signed certificate of the given serial number.
func writeCertificate(t *testing.T, directory string, serial int64, written time.Time) (certificateFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{"localhost"}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	certificateFile, keyFile = filepath.Join(directory, "cert.pem"), filepath.Join(directory, "key.pem")
	for file, block := range map[string]*pem.Block{certificateFile: {Type: "CERTIFICATE", Bytes: der}, keyFile: {Type: "PRIVATE KEY", Bytes: private}} {
		must.NoError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
		must.NoError(t, os.Chtimes(file, written, written))
	}
	return certificateFile, keyFile
}

func serialOf(t *testing.T, certificate *tls.Certificate) int64 {
	leaf, err := x509.ParseCertificate(certificate.Certificate[0])
	must.NoError(t, err)
	return leaf.SerialNumber.Int64()
}

func TestCertificateIsRenewed(t *testing.T) {
	directory := t.TempDir()
	now := time.Now()
	certificateFile, keyFile := writeCertificate(t, directory, 1, now)
	events := memory.New()
	c, err := LoadCertificates(certificateFile, keyFile, &log.Logger{Handler: events})
	must.NoError(t, err)
	must.Eq(t, 1, serialOf(t, c.certificate(now)))
	writeCertificate(t, directory, 2, now.Add(time.Minute))
	must.Eq(t, 2, serialOf(t, c.certificate(now.Add(time.Minute))))
	must.NoError(t, os.WriteFile(keyFile, []byte("nonsense"), 0o600))
	written := now.Add(2 * time.Minute)
	must.NoError(t, os.Chtimes(keyFile, written, written))
	must.Eq(t, 2, serialOf(t, c.certificate(now.Add(time.Hour)))) // the previous certificate stays in use
	must.Len(t, 1, events.Entries)
	must.Eq(t, "certificate.refused", events.Entries[0].Message)
}

func TestMissingCertificateIsASettingsFault(t *testing.T) {
	_, err := LoadCertificates("missing.pem", "missing.pem", discardLogger())
	must.Eq(t, fault.Settings, fault.KindOf(err))
}

func TestRequestOverTLS(t *testing.T) {
	m, _ := newFaultyMesh(t, nil)
	certificateFile, keyFile := writeCertificate(t, t.TempDir(), 1, time.Now())
	c, err := LoadCertificates(certificateFile, keyFile, discardLogger())
	must.NoError(t, err)
	server := serveOn(t, tls.NewListener(listen(t), c.TLS()), NewServer(m.out, Limits{}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	defer client.CloseIdleConnections()
	response, err := client.Get("https://" + address(server.URL) + "/lookup?n=a")
	must.NoError(t, err)
	defer response.Body.Close()
	must.Eq(t, "answered", response.Header.Get(outcome.Header))
}
