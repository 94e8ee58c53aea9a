package soak

import (
	"testing"
	"time"

	"verbenahaven.example/trial/fleet"
)

// TestSoak runs one short fixed seed, as CI does. For longer runs use make soak.
func TestSoak(t *testing.T) {
	bin, err := fleet.BuildPrograms(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), Options{
		Bin: bin, Folder: t.TempDir(), Seed: 1, Duration: 25 * time.Second, MeanFaultGap: 400 * time.Millisecond, Callers: 6, OnceCallers: 2,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations() {
		t.Error(v)
	}
	if _, complete := r.Chats(); complete == 0 {
		t.Error("no completion was complete")
	}
	if _, answered := r.OnceCalls(); answered == 0 {
		t.Error("no run-once call was answered")
	}
	if r.Commands() == 0 {
		t.Error("no command was accepted")
	}
}
