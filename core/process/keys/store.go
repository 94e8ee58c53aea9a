package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// ErrNoAuthority reports that a file holds no certificate.
var ErrNoAuthority = errors.New("no certificate in file")

// keySet holds the certificate and authorities loaded from one version of the
// key files.
type keySet struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

func loadKeySet(f Files) (keySet, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return keySet{}, fmt.Errorf("load key pair: %w", err)
	}
	b, err := os.ReadFile(f.Authority)
	if err != nil {
		return keySet{}, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return keySet{}, fmt.Errorf("read authority %s: %w", f.Authority, ErrNoAuthority)
	}
	return keySet{certificate: pair, authorities: pool}, nil
}

// fileVersions identifies a version of the key files by their metadata, so that
// a change is found without reading them.
type fileVersions [3]os.FileInfo

func statFiles(f Files) (fileVersions, error) {
	var s fileVersions
	for i, name := range []string{f.Authority, f.Cert, f.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return s, fmt.Errorf("stat key file: %w", err)
		}
		s[i] = info
	}
	return s, nil
}

func (s fileVersions) equal(o fileVersions) bool {
	for i, a := range s {
		b := o[i]
		if !os.SameFile(a, b) || a.Size() != b.Size() || !a.ModTime().Equal(b.ModTime()) {
			return false
		}
	}
	return true
}

// reloader holds the current key set and reloads it when the files change.
type reloader struct {
	files Files
	now   func() time.Time

	mutex    sync.Mutex
	set      keySet
	versions fileVersions
	warned   bool
}

func newReloader(f Files) (*reloader, error) {
	s := &reloader{files: f, now: time.Now}
	var err error
	if s.versions, err = statFiles(f); err != nil {
		return nil, err
	}
	s.set, err = loadKeySet(f)
	return s, err
}

func (s *reloader) certificate() *tls.Certificate {
	pair := s.current().certificate
	return &pair
}

func (s *reloader) authorities() *x509.CertPool {
	return s.current().authorities
}

// current returns the key set after checking the files for changes. Handshakes
// are rare enough to check at each.
func (s *reloader) current() keySet {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.refresh(); err != nil && !s.warned {
		s.warned = true
		klog.Warningf("keys: changed files can't be loaded, the previous ones stay in use: %v", err)
	}
	return s.set
}

// refresh loads the files if they changed. While files are being replaced they
// may not match for a moment; the next call tries again.
func (s *reloader) refresh() error {
	versions, err := statFiles(s.files)
	if err != nil {
		return err
	}
	if versions.equal(s.versions) {
		return nil
	}
	next, err := loadKeySet(s.files)
	if err != nil {
		return err
	}
	s.set, s.versions, s.warned = next, versions, false
	klog.Infof("keys: changed files loaded")
	return nil
}
