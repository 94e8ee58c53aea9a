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

const hours = 48 * time.Hour

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// made returns the files of an instance in a new fleet.
func made(t *testing.T) (string, Files) {
	t.Helper()
	folder := t.TempDir()
	if err := MakeFleet(folder, "split", start, hours); err != nil {
		t.Fatal(err)
	}
	if err := MakeInstance(folder, "entry1", start, time.Hour); err != nil {
		t.Fatal(err)
	}
	return folder, Files{
		Authority: filepath.Join(folder, AuthorityCert),
		Cert:      filepath.Join(folder, "entry1.crt"),
		Key:       filepath.Join(folder, "entry1.key"),
	}
}

func storeAt(t *testing.T, f Files, now time.Time) *store {
	t.Helper()
	s, err := newStore(f)
	if err != nil {
		t.Fatal(err)
	}
	s.now = func() time.Time { return now }
	return s
}

func leaf(t *testing.T, f Files) *x509.Certificate {
	t.Helper()
	list, err := Authorities(f.Cert)
	if err != nil {
		t.Fatal(err)
	}
	return list[0]
}

func TestReasons(t *testing.T) {
	_, own := made(t)
	_, other := made(t)
	authority, err := Authorities(own.Authority)
	if err != nil {
		t.Fatal(err)
	}
	within := start.Add(time.Minute)
	for _, c := range []struct {
		want Reason
		now  time.Time
		cert *x509.Certificate
	}{
		{"", within, leaf(t, own)},
		{ReasonNone, within, nil},
		{ReasonExpired, start.Add(2 * time.Hour), leaf(t, own)},
		{ReasonExpired, start.Add(-time.Second), leaf(t, own)},
		{ReasonFleet, within, leaf(t, other)},
		{ReasonName, within, authority[0]},
	} {
		var state tls.ConnectionState
		if c.cert != nil {
			state.PeerCertificates = []*x509.Certificate{c.cert}
		}
		err := storeAt(t, own, c.now).verify(state)
		var refused *Refused
		if errors.As(err, &refused) != (c.want != "") || refused != nil && refused.Reason() != c.want {
			t.Errorf("at %s: got %v, want reason %q", c.now, err, c.want)
		}
	}
}

// TestBadFilesAreNotUsed checks that files which don't load leave the set
// before them in force.
func TestBadFilesAreNotUsed(t *testing.T) {
	_, f := made(t)
	s := storeAt(t, f, start)
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

func TestLoadFails(t *testing.T) {
	_, f := made(t)
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

func TestRotationSteps(t *testing.T) {
	folder, f := made(t)
	if err := MakeFleet(folder, "split", start, hours); !errors.Is(err, ErrExists) {
		t.Errorf("a second authority by mistake: %v", err)
	}
	if err := Retire(folder); !errors.Is(err, ErrNotRotating) {
		t.Errorf("retire the only authority: %v", err)
	}
	old := leaf(t, f)
	s := storeAt(t, f, start.Add(time.Minute))
	accepts := func(c *x509.Certificate) bool {
		return s.verify(tls.ConnectionState{PeerCertificates: []*x509.Certificate{c}}) == nil
	}
	if err := Rotate(folder, start, hours); err != nil {
		t.Fatal(err)
	}
	if err := Rotate(folder, start, hours); !errors.Is(err, ErrRotating) {
		t.Errorf("a third authority: %v", err)
	}
	if err := MakeInstance(folder, "entry1", start, time.Hour); err != nil {
		t.Fatal(err)
	}
	if !accepts(old) || !accepts(leaf(t, f)) {
		t.Errorf("during the rotation: old %t, new %t, want both", accepts(old), accepts(leaf(t, f)))
	}
	if err := Retire(folder); err != nil {
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
