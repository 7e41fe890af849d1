package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"

	"sliphead/internal/fault"
)

// Security configures the authentication of peers: none in plain mode, otherwise
// mutual TLS 1.3 on streams and HMAC-SHA256 on datagrams. The key files may be
// replaced while the node runs.
type Security struct {
	Plain           bool   // no authentication; for tests only
	CertificateFile string // PEM, the node's certificate and chain; its DNS names must include the node's name
	KeyFile         string // PEM, the private key of the certificate
	AuthorityFile   string // PEM, certificates of the authorities that issue peers' certificates
	DatagramKeyFile string // one hexadecimal key per line, at least 32 bytes each; the first signs, all verify
}

// credentials authenticate this node to its peers and the peers to this node. A nil
// pointer means plain mode. They are safe for concurrent use.
type credentials struct {
	certificate *reloadedValue[*tls.Certificate]
	authority   *reloadedValue[*x509.CertPool]
	keys        *reloadedValue[[][]byte]
}

// loadCredentials reads the files of security. It returns an error of kind
// fault.Settings when one is missing or invalid.
func loadCredentials(security Security, limiter *logLimiter) (*credentials, error) {
	if security.Plain {
		return nil, security.checkPlain()
	}
	loaded := &credentials{
		certificate: newReloadedValue(readCertificate, limiter, security.CertificateFile, security.KeyFile),
		authority:   newReloadedValue(readAuthority, limiter, security.AuthorityFile),
		keys:        newReloadedValue(readDatagramKeys, limiter, security.DatagramKeyFile),
	}
	for _, load := range []func() error{loaded.certificate.load, loaded.authority.load, loaded.keys.load} {
		if err := load(); err != nil {
			return nil, err
		}
	}
	return loaded, nil
}

// checkPlain returns an error when plain mode is combined with key files, because
// one of the two must be a mistake.
func (s Security) checkPlain() error {
	if s.CertificateFile+s.KeyFile+s.AuthorityFile+s.DatagramKeyFile == "" {
		return nil
	}
	return fault.New(fault.Settings, "remove security.plain to use the keys, or remove the keys to run tests without them",
		"security.plain is set together with key files")
}

// client authenticates both sides of a dialled stream. It returns the secured stream
// and the names in the listener's certificate, nil in plain mode.
func (c *credentials) client(ctx context.Context, conn net.Conn) (net.Conn, []string, error) {
	if c == nil {
		return conn, nil, nil
	}
	config := c.tlsConfig()
	// The dialer has an address and no host name to verify. VerifyConnection verifies
	// the chain instead, so that any member of the fleet is accepted.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error { return c.verify(state, x509.ExtKeyUsageServerAuth) }
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, nil, authenticationError(err)
	}
	return secured, certificateNames(secured.ConnectionState().PeerCertificates[0]), nil
}

// server authenticates both sides of an accepted stream. It returns the secured
// stream and the names in the peer's certificate, nil in plain mode.
func (c *credentials) server(ctx context.Context, conn net.Conn) (net.Conn, []string, error) {
	if c == nil {
		return conn, nil, nil
	}
	config := c.tlsConfig()
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error { return c.verify(state, x509.ExtKeyUsageClientAuth) }
	secured := tls.Server(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, nil, authenticationError(err)
	}
	return secured, certificateNames(secured.ConnectionState().PeerCertificates[0]), nil
}

// tlsConfig returns the TLS settings common to both sides. Session tickets are disabled,
// so that each stream is verified against the current authorities.
func (c *credentials) tlsConfig() *tls.Config {
	certificate := c.certificate.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*certificate},
		SessionTicketsDisabled: true,
	}
}

// verify checks the peer's certificate chain against the current authorities.
func (c *credentials) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Peer, "give the peer a certificate", "the peer presented no certificate")
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

// certificateNames returns the DNS names of a certificate, or its common name if it has
// none.
func certificateNames(certificate *x509.Certificate) []string {
	if len(certificate.DNSNames) > 0 {
		return certificate.DNSNames
	}
	return []string{certificate.Subject.CommonName}
}

// authenticationError wraps an error of the TLS handshake.
func authenticationError(err error) error {
	return withCause(causeAuthentication, fault.Wrap(err, fault.Peer,
		"check both sides' certificates and authorities, and that security.plain is set on neither or both", "the peer was not authenticated"))
}
