package boot_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/process/boot"
)

// settings is an example with each type of key: plain, table, map and array of
// tables.
type settings struct {
	Name   string            `toml:"name"`
	Count  int               `toml:"count"`
	Peers  map[string]string `toml:"peers"`
	Listen struct {
		HTTP string        `toml:"http"`
		Wait boot.Duration `toml:"wait"`
	} `toml:"listen"`
	Engines []struct {
		Name string `toml:"name"`
	} `toml:"engine"`
}

func (s *settings) Check() (string, error) {
	switch wait := time.Duration(s.Listen.Wait); {
	case s.Name == "":
		return "name", errors.New("must be set")
	case s.Count < 0 || s.Count > 9:
		return "count", fmt.Errorf("%d is not in 0 to 9", s.Count)
	case wait < 0 || wait > time.Minute:
		return "listen.wait", fmt.Errorf("%s is not in 0s to 1m", wait)
	}
	return "", nil
}

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		var s settings
		if err := boot.Parse("x.toml", []byte(d.Input), &s); err != nil {
			return fmt.Sprintf("exit %d: %v", boot.ExitCode(err), err)
		}
		return fmt.Sprintf("%+v", s)
	})
}

func TestMissingFile(t *testing.T) {
	err := boot.Load(filepath.Join(t.TempDir(), "none.toml"), new(settings))
	if boot.ExitCode(err) != boot.ExitSettings || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v with exit code %d", err, boot.ExitCode(err))
	}
}

func TestListen(t *testing.T) {
	l, err := boot.Listen(t.Context(), "listen.http", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	address := l.Addr().String()
	for _, bad := range []string{address, "127.0.0.1", "127.0.0.1:none", "192.0.2.1:1"} {
		_, err := boot.Listen(t.Context(), "listen.http", bad)
		if boot.ExitCode(err) != boot.ExitAddress || !strings.HasPrefix(err.Error(), "listen.http: can't listen on "+bad+": ") {
			t.Errorf("%s: got %v with exit code %d", bad, err, boot.ExitCode(err))
		}
	}
	_, err = boot.Listen(t.Context(), "listen.http", address)
	if want := "listen.http: can't listen on " + address + ": bind: address already in use"; err.Error() != want {
		t.Errorf("got %q, want %q", err, want)
	}
}

func TestFolder(t *testing.T) {
	base := t.TempDir()
	path := filepath.Join(base, "a", "b")
	if err := boot.EnsureFolder("folder", path); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(path)
	if err != nil || len(entries) != 0 {
		t.Errorf("files left in the folder: %v, %v", entries, err)
	}
	file := filepath.Join(base, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	// Even root can't create files in /proc.
	for _, bad := range []string{file, filepath.Join(file, "below"), "/proc/self"} {
		err := boot.EnsureFolder("folder", bad)
		if boot.ExitCode(err) != boot.ExitFolder || !strings.HasPrefix(err.Error(), "folder: can't use folder: ") {
			t.Errorf("%s: got %v with exit code %d", bad, err, boot.ExitCode(err))
		}
	}
}

func TestExitCode(t *testing.T) {
	err := fmt.Errorf("start: %w", boot.WithExitCode(boot.ExitFolder, os.ErrPermission))
	if boot.ExitCode(err) != boot.ExitFolder || !errors.Is(err, os.ErrPermission) {
		t.Errorf("got %d for %v", boot.ExitCode(err), err)
	}
	if boot.ExitCode(nil) != boot.ExitOK || boot.ExitCode(os.ErrPermission) != boot.ExitFailure {
		t.Errorf("got %d and %d", boot.ExitCode(nil), boot.ExitCode(os.ErrPermission))
	}
}

// FuzzParse checks that every error begins with the file name and has the exit
// code for settings, and that the parser never panics.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"name = \"a\"\n[listen]\nwait = \"1s\"\n", "name = \"a\"\ncolour = 1\n", "count = \"x\"", "name = \"a\"\ncount = 10",
		"[listen\n", "peers = { a = 1 }", "[[engine]]\nname = \"e\"\n[[engine]]\ncolour = 2", "name = \"a\"\nname = \"b\"", "\x00", "[listen]\nwait = 5",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		err := boot.Parse("x.toml", []byte(text), new(settings))
		if err != nil && (boot.ExitCode(err) != boot.ExitSettings || !strings.HasPrefix(err.Error(), "x.toml")) {
			t.Errorf("%q: got %v with exit code %d", text, err, boot.ExitCode(err))
		}
	})
}
