package keys

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// File names in a key folder.
const (
	AuthorityCert = "fleet.crt"
	AuthorityKey  = "fleet.key"
)

const (
	fileMode    = 0o600
	pemTypeCert = "CERTIFICATE"
	pemTypeKey  = "PRIVATE KEY"
)

// Errors of changes to the authorities in a key folder.
var (
	// ErrExists reports that the folder already has an authority.
	ErrExists = errors.New("the folder has an authority already")
	// ErrRotating reports that the folder already has two authorities.
	ErrRotating = errors.New("a rotation is under way already")
	// ErrNotRotating reports that the folder has only one authority.
	ErrNotRotating = errors.New("no rotation is under way")
)

// CreateAuthority creates the authority of a new fleet in folder, which must not
// have one.
func CreateAuthority(folder, fleet string, from time.Time, validity time.Duration) error {
	_, err := os.Stat(filepath.Join(folder, AuthorityKey))
	if err == nil {
		return fmt.Errorf("%s: %w", folder, ErrExists)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("check for an authority: %w", err)
	}
	cert, key, err := makeAuthority(fleet, from, validity)
	if err != nil {
		return err
	}
	return writePair(folder, AuthorityCert, AuthorityKey, cert, key)
}

// StartRotation starts a rotation: it adds a second authority to folder. The new
// one signs all further certificates; instances with the new fleet.crt accept
// both.
func StartRotation(folder string, from time.Time, validity time.Duration) error {
	list, err := ReadCertificates(filepath.Join(folder, AuthorityCert))
	if err != nil {
		return err
	}
	if len(list) > 1 {
		return fmt.Errorf("%s: %w", folder, ErrRotating)
	}
	cert, key, err := makeAuthority(list[0].Subject.CommonName, from, validity)
	if err != nil {
		return err
	}
	return writePair(folder, AuthorityCert, AuthorityKey, append(cert, encodeCert(list[0].Raw)...), key)
}

// FinishRotation ends a rotation: it removes the older authority from folder.
func FinishRotation(folder string) error {
	list, err := ReadCertificates(filepath.Join(folder, AuthorityCert))
	if err != nil {
		return err
	}
	if len(list) == 1 {
		return fmt.Errorf("%s: %w", folder, ErrNotRotating)
	}
	return writeAtomically(filepath.Join(folder, AuthorityCert), encodeCert(list[0].Raw))
}

// ReadCertificates returns the certificates in a PEM file, in the order of the file.
// In fleet.crt the newest authority comes first.
func ReadCertificates(path string) ([]*x509.Certificate, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read certificates: %w", err)
	}
	var list []*x509.Certificate
	for {
		var block *pem.Block
		block, b = pem.Decode(b)
		if block == nil {
			break
		}
		if block.Type != pemTypeCert {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("parse certificate in %s: %w", path, err)
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("read certificates %s: %w", path, ErrNoAuthority)
	}
	return list, nil
}

// IssueCertificate writes NAME.crt and NAME.key to folder. The certificate is
// signed by the newest authority there.
func IssueCertificate(folder, name string, from time.Time, validity time.Duration) error {
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
		NotAfter:     from.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, authority, &key.PublicKey, pair.PrivateKey)
	if err != nil {
		return fmt.Errorf("sign instance certificate: %w", err)
	}
	return writePair(folder, name+".crt", name+".key", encodeCert(der), key)
}

// makeAuthority returns a self-signed CA certificate in PEM and its key.
func makeAuthority(fleet string, from time.Time, validity time.Duration) ([]byte, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate fleet key: %w", err)
	}
	t := &x509.Certificate{
		SerialNumber:          big.NewInt(from.UnixNano()),
		Subject:               pkix.Name{CommonName: fleet},
		NotBefore:             from,
		NotAfter:              from.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, nil, fmt.Errorf("sign fleet certificate: %w", err)
	}
	return encodeCert(der), key, nil
}

func encodeCert(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemTypeCert, Bytes: der})
}

func writePair(folder, certName, keyName string, cert []byte, key *ecdsa.PrivateKey) error {
	b, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: b})
	if err := writeAtomically(filepath.Join(folder, keyName), keyPEM); err != nil {
		return err
	}
	return writeAtomically(filepath.Join(folder, certName), cert)
}

// writeAtomically replaces a file by a rename, so that a process that reloads it
// never reads a partial one.
func writeAtomically(path string, b []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-")
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	_, err = bytes.NewReader(b).WriteTo(f)
	err = errors.Join(err, f.Chmod(fileMode), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", path, errors.Join(err, os.Remove(f.Name())))
	}
	return nil
}
