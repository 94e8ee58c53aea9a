// Package keys creates and loads the mutual TLS certificates of a fleet. Each
// fleet has its own certificate authority, which signs a certificate for each
// instance. Files may be replaced while a process runs: the next handshake uses
// the new ones.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// ALPNProtocol is the ALPN protocol name of links between instances.
const ALPNProtocol = "verbenahaven/1"

// ServerName is the DNS name in every instance certificate. An instance is
// identified by the common name of its certificate, not by its address.
const ServerName = "verbenahaven.internal"

// Files holds the paths of the key files of an instance.
type Files struct {
	Authority string `toml:"authority"` // certificates of the fleet's authorities; more than one during a rotation
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
}

// Load returns the TLS configuration for links: both ends present a certificate
// signed by an authority of the fleet. Load fails if a file is unusable; files
// that become unusable later leave the last loaded ones in use.
func Load(f Files) (*tls.Config, error) {
	s, err := newReloader(f)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificate(), nil },
		NextProtos:           []string{ALPNProtocol},
		ServerName:           ServerName,
		// crypto/tls verifies against a fixed pool of authorities. To reload
		// the pool, and to learn the reason for a failure, verify does the
		// whole verification at both ends. Session tickets are disabled, so
		// that no session is resumed without it.
		InsecureSkipVerify:     true, //nolint:gosec // VerifyConnection verifies the chain, its dates, key usage and name
		ClientAuth:             tls.RequestClientCert,
		VerifyConnection:       s.verify,
		SessionTicketsDisabled: true,
	}, nil
}

// Reason is the reason why a peer was refused, as a label of a counter.
type Reason string

// Reasons why a peer is refused.
const (
	ReasonNoCertificate    Reason = "none"    // the peer presented no certificate
	ReasonExpired          Reason = "expired" // expired or not yet valid
	ReasonUnknownAuthority Reason = "fleet"   // not signed by an authority of this fleet
	ReasonNotInstance      Reason = "name"    // not the certificate of an instance
	ReasonInvalid          Reason = "bad"     // anything else
)

// VerificationError is the error of a peer that fails verification.
type VerificationError struct {
	reason Reason
	peer   string
	err    error
}

// Error implements error.
func (r *VerificationError) Error() string {
	return fmt.Sprintf("peer %q refused: %s: %v", r.peer, r.reason, r.err)
}

// Unwrap returns the cause.
func (r *VerificationError) Unwrap() error { return r.err }

// Reason returns why the peer was refused.
func (r *VerificationError) Reason() Reason { return r.reason }

var (
	errNoCertificate = errors.New("no certificate")
	errNoName        = errors.New("no name in certificate")
)

// verify checks the certificate of the other end against the current
// authorities.
func (s *reloader) verify(c tls.ConnectionState) error {
	if len(c.PeerCertificates) == 0 {
		return &VerificationError{reason: ReasonNoCertificate, err: errNoCertificate}
	}
	leaf := c.PeerCertificates[0]
	peer := leaf.Subject.CommonName
	intermediates := x509.NewCertPool()
	for _, other := range c.PeerCertificates[1:] {
		intermediates.AddCert(other)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         s.authorities(),
		Intermediates: intermediates,
		DNSName:       ServerName,
		CurrentTime:   s.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return &VerificationError{reason: reasonOf(err), peer: peer, err: err}
	}
	if peer == "" {
		return &VerificationError{reason: ReasonNotInstance, err: errNoName}
	}
	return nil
}

func reasonOf(err error) Reason {
	var invalid x509.CertificateInvalidError
	var unknown x509.UnknownAuthorityError
	var name x509.HostnameError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return ReasonExpired
	case errors.As(err, &unknown):
		return ReasonUnknownAuthority
	case errors.As(err, &name):
		return ReasonNotInstance
	default:
		return ReasonInvalid
	}
}
