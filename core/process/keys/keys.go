// Package keys makes and loads the TLS keys of a fleet. Each fleet has its own
// certificate authority; each instance has a key signed by it. Key files may
// be replaced while a process runs: the next handshake uses the new ones.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// Protocol is the ALPN name of links between instances.
const Protocol = "verbenahaven/1"

// ServerName is the DNS name in every instance certificate. Instances are
// known by the common name in their certificate, not by address.
const ServerName = "verbenahaven.internal"

// Files names the key files of an instance.
type Files struct {
	Authority string `toml:"authority"` // certificates of the fleet's authorities; more than one during a rotation
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
}

// Load returns the TLS configuration for links: both ends show a certificate
// that an authority of the fleet signed. All files must be usable at the
// start; later a set that can't be loaded leaves the one before in force.
func Load(f Files) (*tls.Config, error) {
	s, err := newStore(f)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificate(), nil },
		NextProtos:           []string{Protocol},
		ServerName:           ServerName,
		// The library checks against one fixed set of authorities. To follow
		// the file, and to know the reason of a refusal, verify does the
		// whole check at both ends; a session is never resumed without it.
		InsecureSkipVerify:     true, //nolint:gosec // VerifyConnection verifies the chain, its dates, use and name
		ClientAuth:             tls.RequestClientCert,
		VerifyConnection:       s.verify,
		SessionTicketsDisabled: true,
	}, nil
}

// Reason tells why a peer was refused, in one word for a counter.
type Reason string

// Reasons of refusals.
const (
	ReasonNone    Reason = "none"    // no certificate
	ReasonExpired Reason = "expired" // out of its dates, or not yet in them
	ReasonFleet   Reason = "fleet"   // signed by no authority of this fleet
	ReasonName    Reason = "name"    // no certificate of an instance
	ReasonBad     Reason = "bad"     // anything else
)

// Refused is the error of a peer that failed verification.
type Refused struct {
	reason Reason
	peer   string
	err    error
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("peer %q refused: %s: %v", r.peer, r.reason, r.err)
}

// Unwrap returns the cause.
func (r *Refused) Unwrap() error { return r.err }

// Reason tells why.
func (r *Refused) Reason() Reason { return r.reason }

var (
	errNoCertificate = errors.New("no certificate")
	errNoName        = errors.New("no name in certificate")
)

// verify checks the certificate of the other end against the authorities that
// are in force now.
func (s *store) verify(c tls.ConnectionState) error {
	if len(c.PeerCertificates) == 0 {
		return &Refused{reason: ReasonNone, err: errNoCertificate}
	}
	leaf := c.PeerCertificates[0]
	peer := leaf.Subject.CommonName
	between := x509.NewCertPool()
	for _, other := range c.PeerCertificates[1:] {
		between.AddCert(other)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         s.authorities(),
		Intermediates: between,
		DNSName:       ServerName,
		CurrentTime:   s.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return &Refused{reason: reasonOf(err), peer: peer, err: err}
	}
	if peer == "" {
		return &Refused{reason: ReasonName, err: errNoName}
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
		return ReasonFleet
	case errors.As(err, &name):
		return ReasonName
	default:
		return ReasonBad
	}
}
