package quorum

import "testing"

// A member with the votes of two of three looked as if it should lead.
func TestVoterNamesTellBothHalvesOfReplacement(t *testing.T) {
	c := Config{Members: []Member{{Name: "a", Identity: "a1b2c3", Voter: true}, {Name: "b", Identity: "b1b2c3", Voter: true}, {Name: "b", Identity: "b9"}}}
	if got := c.voterNames(); got != "a/a1b2 b/b1b2" {
		t.Error(got)
	}
	if got := c.withReplacement("b1b2c3", "b9").voterNames(); got != "a/a1b2 b/b9 and a/a1b2 b/b1b2" {
		t.Error(got)
	}
}
