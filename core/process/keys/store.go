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

// ErrNoAuthority tells that a file holds no certificate.
var ErrNoAuthority = errors.New("no certificate in file")

// set is one version of the key files, loaded together.
type set struct {
	pair tls.Certificate
	pool *x509.CertPool
}

func load(f Files) (set, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return set{}, fmt.Errorf("load key pair: %w", err)
	}
	b, err := os.ReadFile(f.Authority)
	if err != nil {
		return set{}, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return set{}, fmt.Errorf("read authority %s: %w", f.Authority, ErrNoAuthority)
	}
	return set{pair: pair, pool: pool}, nil
}

// stamp tells versions of the files apart without reading them.
type stamp [3]os.FileInfo

func stampOf(f Files) (stamp, error) {
	var s stamp
	for i, name := range []string{f.Authority, f.Cert, f.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return s, fmt.Errorf("look at key file: %w", err)
		}
		s[i] = info
	}
	return s, nil
}

func (s stamp) equal(o stamp) bool {
	for i, a := range s {
		b := o[i]
		if !os.SameFile(a, b) || a.Size() != b.Size() || !a.ModTime().Equal(b.ModTime()) {
			return false
		}
	}
	return true
}

// store holds the set in force and follows the files.
type store struct {
	files Files
	now   func() time.Time

	mutex  sync.Mutex
	set    set
	stamp  stamp
	failed bool
}

func newStore(f Files) (*store, error) {
	s := &store{files: f, now: time.Now}
	var err error
	if s.stamp, err = stampOf(f); err != nil {
		return nil, err
	}
	s.set, err = load(f)
	return s, err
}

func (s *store) certificate() *tls.Certificate {
	pair := s.current().pair
	return &pair
}

func (s *store) authorities() *x509.CertPool {
	return s.current().pool
}

// current returns the set in force, after a look at the files. Handshakes are
// rare enough to look each time.
func (s *store) current() set {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.refresh(); err != nil && !s.failed {
		s.failed = true
		klog.Warningf("keys: new files are not used: %v", err)
	}
	return s.set
}

// refresh loads the files if they changed. Files that are being replaced may
// not fit together for a moment; the next look tries again.
func (s *store) refresh() error {
	stamp, err := stampOf(s.files)
	if err != nil {
		return err
	}
	if stamp.equal(s.stamp) {
		return nil
	}
	next, err := load(s.files)
	if err != nil {
		return err
	}
	s.set, s.stamp, s.failed = next, stamp, false
	klog.Infof("keys: new files are in force")
	return nil
}
