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

// isolatedLife covers the longest run of a process, and clocks that differ by
// as much.
const isolatedLife = 10 * 365 * 24 * time.Hour

// Isolated returns the TLS configuration of an instance on a network that the
// operator isolates, for fleets without key files. Links are encrypted, and
// each end tells its name, but nothing proves it: whoever reaches the network
// can pass for an instance.
func Isolated(name string) (*tls.Config, error) {
	if name == "" {
		return nil, errNoName
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{ServerName},
		NotBefore:    now.Add(-isolatedLife),
		NotAfter:     now.Add(isolatedLife),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("make certificate: %w", err)
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}},
		NextProtos:         []string{Protocol},
		ServerName:         ServerName,
		InsecureSkipVerify: true, //nolint:gosec // the network is the boundary of trust, as the name says
		ClientAuth:         tls.RequireAnyClientCert,
		VerifyConnection: func(c tls.ConnectionState) error {
			if len(c.PeerCertificates) == 0 {
				return &Refused{reason: ReasonNone, err: errNoCertificate}
			}
			if c.PeerCertificates[0].Subject.CommonName == "" {
				return &Refused{reason: ReasonName, err: errNoName}
			}
			return nil
		},
		SessionTicketsDisabled: true,
	}, nil
}
