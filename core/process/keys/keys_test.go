package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const authorityValidity = 48 * time.Hour

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// newTestFleet creates a fleet with one instance and returns the key folder and
// the files of the instance.
func newTestFleet(t *testing.T) (string, Files) {
	t.Helper()
	folder := t.TempDir()
	if err := CreateAuthority(folder, "split", start, authorityValidity); err != nil {
		t.Fatal(err)
	}
	if err := IssueCertificate(folder, "entry1", start, time.Hour); err != nil {
		t.Fatal(err)
	}
	return folder, Files{
		Authority: filepath.Join(folder, AuthorityCert),
		Cert:      filepath.Join(folder, "entry1.crt"),
		Key:       filepath.Join(folder, "entry1.key"),
	}
}

func newReloaderAt(t *testing.T, f Files, now time.Time) *reloader {
	t.Helper()
	s, err := newReloader(f)
	if err != nil {
		t.Fatal(err)
	}
	s.now = func() time.Time { return now }
	return s
}

func leaf(t *testing.T, f Files) *x509.Certificate {
	t.Helper()
	list, err := ReadCertificates(f.Cert)
	if err != nil {
		t.Fatal(err)
	}
	return list[0]
}

func TestVerifyReasons(t *testing.T) {
	_, own := newTestFleet(t)
	_, other := newTestFleet(t)
	authority, err := ReadCertificates(own.Authority)
	if err != nil {
		t.Fatal(err)
	}
	valid := start.Add(time.Minute)
	for _, c := range []struct {
		want Reason
		now  time.Time
		cert *x509.Certificate
	}{
		{"", valid, leaf(t, own)},
		{ReasonNoCertificate, valid, nil},
		{ReasonExpired, start.Add(2 * time.Hour), leaf(t, own)},
		{ReasonExpired, start.Add(-time.Second), leaf(t, own)},
		{ReasonUnknownAuthority, valid, leaf(t, other)},
		{ReasonNotInstance, valid, authority[0]},
	} {
		var state tls.ConnectionState
		if c.cert != nil {
			state.PeerCertificates = []*x509.Certificate{c.cert}
		}
		err := newReloaderAt(t, own, c.now).verify(state)
		var refused *VerificationError
		if errors.As(err, &refused) != (c.want != "") || refused != nil && refused.Reason() != c.want {
			t.Errorf("at %s: got %v, want reason %q", c.now, err, c.want)
		}
	}
}

// TestUnusableFilesKeepLoadedSet checks that files that can't be loaded leave
// the last loaded certificate in use.
func TestUnusableFilesKeepLoadedSet(t *testing.T) {
	_, f := newTestFleet(t)
	s := newReloaderAt(t, f, start)
	before := s.certificate().Certificate[0]
	good, err := os.ReadFile(f.Cert)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][]byte{nil, []byte("no certificate"), good[:len(good)/2]} {
		if err := os.WriteFile(f.Cert, bad, fileMode); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(s.certificate().Certificate[0], before) {
			t.Errorf("%q was used", bad)
		}
	}
	if err := os.Remove(f.Cert); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(s.certificate().Certificate[0], before) {
		t.Error("a missing file was used")
	}
}

func TestLoadRejectsUnusableFiles(t *testing.T) {
	_, f := newTestFleet(t)
	empty := filepath.Join(t.TempDir(), "empty")
	if err := os.WriteFile(empty, nil, fileMode); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(Files{Authority: empty, Cert: f.Cert, Key: f.Key}); !errors.Is(err, ErrNoAuthority) {
		t.Errorf("got %v, want %v", err, ErrNoAuthority)
	}
	if _, err := Load(Files{Authority: f.Authority, Cert: f.Cert, Key: empty}); err == nil {
		t.Error("an empty key was loaded")
	}
	if _, err := Load(Files{Authority: "nowhere", Cert: f.Cert, Key: f.Key}); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want %v", err, os.ErrNotExist)
	}
}

func TestRotation(t *testing.T) {
	folder, f := newTestFleet(t)
	if err := CreateAuthority(folder, "split", start, authorityValidity); !errors.Is(err, ErrExists) {
		t.Errorf("new authority beside an existing one: %v", err)
	}
	if err := FinishRotation(folder); !errors.Is(err, ErrNotRotating) {
		t.Errorf("removal of the only authority: %v", err)
	}
	old := leaf(t, f)
	s := newReloaderAt(t, f, start.Add(time.Minute))
	accepts := func(c *x509.Certificate) bool {
		return s.verify(tls.ConnectionState{PeerCertificates: []*x509.Certificate{c}}) == nil
	}
	if err := StartRotation(folder, start, authorityValidity); err != nil {
		t.Fatal(err)
	}
	if err := StartRotation(folder, start, authorityValidity); !errors.Is(err, ErrRotating) {
		t.Errorf("rotation during a rotation: %v", err)
	}
	if err := IssueCertificate(folder, "entry1", start, time.Hour); err != nil {
		t.Fatal(err)
	}
	if !accepts(old) || !accepts(leaf(t, f)) {
		t.Errorf("during the rotation: old %t, new %t, want both", accepts(old), accepts(leaf(t, f)))
	}
	if err := FinishRotation(folder); err != nil {
		t.Fatal(err)
	}
	if accepts(old) || !accepts(leaf(t, f)) {
		t.Errorf("after the rotation: old %t, new %t, want the new one only", accepts(old), accepts(leaf(t, f)))
	}
	info, err := os.Stat(filepath.Join(folder, AuthorityKey))
	if err != nil || info.Mode().Perm() != fileMode {
		t.Errorf("mode %v of the fleet's key, %v", info.Mode(), err)
	}
}
