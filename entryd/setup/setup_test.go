package setup_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/entryd/setup"
)

// A grace of nothing cut all running calls at once, without an answer.
func TestGraceWithoutTimeIsRefused(t *testing.T) {
	b, err := os.ReadFile("../sample.toml")
	if err != nil {
		t.Fatal(err)
	}
	const line = `grace = "30s"`
	if strings.Count(string(b), line) != 1 {
		t.Fatalf("the sample lacks %q", line)
	}
	for grace, want := range map[string]string{
		`grace = "0s"`:    "s.toml:43: stop.grace: out of range: 0s, allowed are 1s to 1h0m0s",
		`grace = "-1s"`:   "s.toml:43: stop.grace: out of range: -1s, allowed are 1s to 1h0m0s",
		`grace = "999ms"`: "s.toml:43: stop.grace: out of range: 999ms, allowed are 1s to 1h0m0s",
		`grace = "1s"`:    "",
		"":                "",
	} {
		s, got := setup.Defaults(), ""
		if err := boot.Parse("s.toml", []byte(strings.Replace(string(b), line, grace, 1)), s); err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%q: got %q, want %q", grace, got, want)
		}
		if grace == "" && time.Duration(s.Stop.Grace) != 30*time.Second {
			t.Errorf("default %v", time.Duration(s.Stop.Grace))
		}
	}
}
