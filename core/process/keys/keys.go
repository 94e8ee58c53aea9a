// Package keys makes and loads the TLS keys of a fleet. Each fleet has its own
// certificate authority; each instance has a key signed by it.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Protocol is the ALPN name of links between instances.
const Protocol = "verbenahaven/1"

// ErrNoAuthority tells that a file holds no certificate.
var ErrNoAuthority = errors.New("no certificate in file")

// File names in a key folder.
const (
	AuthorityCert = "fleet.crt"
	AuthorityKey  = "fleet.key"
)

const fileMode = 0o600

// Files names the key files of an instance.
type Files struct {
	Authority string `toml:"authority"` // certificate of the fleet
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
}

// Load returns the TLS configuration for links: both ends show a certificate
// that the fleet's authority signed.
func Load(f Files) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("load key pair: %w", err)
	}
	b, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("read authority %s: %w", f.Authority, ErrNoAuthority)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{Protocol},
		// Instances are known by the name in their certificate, not by address.
		ServerName: ServerName,
	}, nil
}

// ServerName is the DNS name in every instance certificate.
const ServerName = "verbenahaven.internal"

// MakeFleet writes a new authority into folder.
func MakeFleet(folder, fleet string, from time.Time, life time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate fleet key: %w", err)
	}
	t := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: fleet},
		NotBefore:             from,
		NotAfter:              from.Add(life),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return fmt.Errorf("sign fleet certificate: %w", err)
	}
	return write(folder, AuthorityCert, AuthorityKey, der, key)
}

// MakeInstance writes NAME.crt and NAME.key, signed by the authority in folder.
func MakeInstance(folder, name string, from time.Time, life time.Duration) error {
	pair, err := tls.LoadX509KeyPair(filepath.Join(folder, AuthorityCert), filepath.Join(folder, AuthorityKey))
	if err != nil {
		return fmt.Errorf("load fleet key: %w", err)
	}
	authority, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return fmt.Errorf("parse fleet certificate: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate instance key: %w", err)
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(from.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{ServerName},
		NotBefore:    from,
		NotAfter:     from.Add(life),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, authority, &key.PublicKey, pair.PrivateKey)
	if err != nil {
		return fmt.Errorf("sign instance certificate: %w", err)
	}
	return write(folder, name+".crt", name+".key", der, key)
}

func write(folder, certName, keyName string, der []byte, key *ecdsa.PrivateKey) error {
	b, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: b})
	if err := os.WriteFile(filepath.Join(folder, keyName), keyPEM, fileMode); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(filepath.Join(folder, certName), certPEM, fileMode); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	return nil
}
