package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"time"
)

// selfSignedValidity is the validity of a self-signed certificate before and
// after its creation. It covers the longest run of a process and any clock skew
// up to the same length.
const selfSignedValidity = 10 * 365 * 24 * time.Hour

// UnauthenticatedConfig returns the TLS configuration of an instance on a
// network that the operator isolates, for fleets without key files. Links are
// encrypted with self-signed certificates that give the name of each end. The
// names aren't authenticated: any host on the network can impersonate an
// instance.
func UnauthenticatedConfig(name string) (*tls.Config, error) {
	if name == "" {
		return nil, errNoName
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{ServerName},
		NotBefore:    now.Add(-selfSignedValidity),
		NotAfter:     now.Add(selfSignedValidity),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create certificate: %w", err)
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}},
		NextProtos:         []string{ALPNProtocol},
		ServerName:         ServerName,
		InsecureSkipVerify: true, //nolint:gosec // the isolated network is the trust boundary, peers are not authenticated
		ClientAuth:         tls.RequireAnyClientCert,
		VerifyConnection: func(c tls.ConnectionState) error {
			if len(c.PeerCertificates) == 0 {
				return &VerificationError{reason: ReasonNoCertificate, err: errNoCertificate}
			}
			if c.PeerCertificates[0].Subject.CommonName == "" {
				return &VerificationError{reason: ReasonNotInstance, err: errNoName}
			}
			return nil
		},
		// Post-quantum key exchange takes about as long as the rest of a handshake. It would
		// protect nothing here, as anyone on the network can take an instance's place.
		CurvePreferences:       []tls.CurveID{tls.X25519},
		SessionTicketsDisabled: true,
	}, nil
}
