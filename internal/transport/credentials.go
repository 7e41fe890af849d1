package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"

	"sliphead/internal/fault"
)

// Security says how peers are authenticated: plainly not at all, or by TLS 1.3
// on streams and by HMAC-SHA256 on datagrams, with keys from files that may be
// replaced while the node runs.
type Security struct {
	Plain           bool   // no authentication; for tests only
	CertificateFile string // PEM, the node's certificate and chain; its DNS names must hold the node's name
	KeyFile         string // PEM, the private key of the certificate
	AuthorityFile   string // PEM, the certificates of the authorities that peers' certificates come from
	DatagramKeyFile string // one key a line in hexadecimal, at least 32 bytes each; the first signs, each verifies
}

// credentials prove this node to peers and peers to this node. A nil pointer
// stands for the plain mode.
type credentials struct {
	certificate *reloaded[*tls.Certificate]
	authority   *reloaded[*x509.CertPool]
	keys        *reloaded[[][]byte]
}

// loadCredentials reads the files named. It fails when one is missing or wrong.
func loadCredentials(security Security, limiter *logLimiter) (*credentials, error) {
	if security.Plain {
		return nil, security.checkPlain()
	}
	loaded := &credentials{
		certificate: newReloaded(readCertificate, limiter, security.CertificateFile, security.KeyFile),
		authority:   newReloaded(readAuthority, limiter, security.AuthorityFile),
		keys:        newReloaded(readDatagramKeys, limiter, security.DatagramKeyFile),
	}
	for _, load := range []func() error{loaded.certificate.load, loaded.authority.load, loaded.keys.load} {
		if err := load(); err != nil {
			return nil, err
		}
	}
	return loaded, nil
}

// checkPlain refuses a plain mode that also names keys: one of them is not meant.
func (s Security) checkPlain() error {
	if s.CertificateFile+s.KeyFile+s.AuthorityFile+s.DatagramKeyFile == "" {
		return nil
	}
	return fault.New(fault.Settings, "remove security.plain to use the keys, or the keys to run tests without",
		"security.plain is set and keys are named")
}

// client proves a dialled stream in both directions and returns the names that
// the listener's certificate proves, nil in plain mode.
func (c *credentials) client(ctx context.Context, conn net.Conn) (net.Conn, []string, error) {
	if c == nil {
		return conn, nil, nil
	}
	config := c.config()
	// The dialer knows an address, not a name: the chain is verified by
	// VerifyConnection, and any member of the fleet may answer.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error { return c.verify(state, x509.ExtKeyUsageServerAuth) }
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, nil, refusedPeer(err)
	}
	return secured, provenNames(secured.ConnectionState().PeerCertificates[0]), nil
}

// server proves an accepted stream in both directions and returns the names
// that the peer's certificate proves, nil in plain mode.
func (c *credentials) server(ctx context.Context, conn net.Conn) (net.Conn, []string, error) {
	if c == nil {
		return conn, nil, nil
	}
	config := c.config()
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error { return c.verify(state, x509.ExtKeyUsageClientAuth) }
	secured := tls.Server(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, nil, refusedPeer(err)
	}
	return secured, provenNames(secured.ConnectionState().PeerCertificates[0]), nil
}

// config returns what both sides share. Session tickets are off, so that each
// stream is proven against the authorities of now.
func (c *credentials) config() *tls.Config {
	certificate := c.certificate.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*certificate},
		SessionTicketsDisabled: true,
	}
}

// verify checks the peer's chain against the authorities held now.
func (c *credentials) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Peer, "give the peer a certificate", "the peer showed no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         c.authority.current(),
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// provenNames returns the DNS names of a certificate, else its common name.
func provenNames(certificate *x509.Certificate) []string {
	if len(certificate.DNSNames) > 0 {
		return certificate.DNSNames
	}
	return []string{certificate.Subject.CommonName}
}

// refusedPeer types an error of the handshake.
func refusedPeer(err error) error {
	return refused(causeAuthentication, fault.Wrap(err, fault.Peer,
		"check both sides' certificates and authorities, and that security.plain is set on neither or both", "the peer was not authenticated"))
}
