package conf_test

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/keepd/conf"
)

// Operators read the defaults from sample.toml, so it must hold those of the
// code.
func TestSampleHoldsDefaults(t *testing.T) {
	s := conf.Default()
	if err := boot.Load("../sample.toml", s); err == nil || !strings.Contains(err.Error(), "digest") {
		t.Fatalf("sample without a digest: %v, want an error that names digest", err)
	}
	d := conf.Default()
	if s.Group.Election != d.Group.Election || s.Order != d.Order || s.Plan != d.Plan || s.Ledger != d.Ledger || s.Member != d.Member {
		t.Fatalf("sample has %+v, want the defaults %+v", s, d)
	}
}

// TestInvalidSettings replaces one line of the sample and prints the resulting
// error.
func TestInvalidSettings(t *testing.T) {
	b, err := os.ReadFile("../sample.toml")
	if err != nil {
		t.Fatal(err)
	}
	sample := strings.Replace(string(b), `digest = ""`, `digest = "`+strings.Repeat("a", 64)+`"`, 1)
	datadriven.RunTest(t, "testdata/refused", func(_ *testing.T, d *datadriven.TestData) string {
		key, _, _ := strings.Cut(d.Input, " =")
		lines := strings.Split(sample, "\n")
		for i, l := range lines {
			if strings.HasPrefix(l, key+" =") {
				lines[i] = d.Input
				break
			}
		}
		err := boot.Parse("keepd.toml", []byte(strings.Join(lines, "\n")), conf.Default())
		if err == nil {
			return "ok"
		}
		return err.Error()
	})
}
