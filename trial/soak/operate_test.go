package soak

import (
	"testing"

	"verbenahaven.example/core/version/state"
)

// Role assignments must leave engines in both roles: seed 41 moved five of six
// to prefill, and drains of the last one refused most completions.
func TestAssignmentsKeepBothRoles(t *testing.T) {
	roles := map[string]state.Role{"a": state.RolePrefill, "b": state.RolePrefill, "c": state.RolePrefill, "d": state.RoleDecode, "e": state.RoleDecode, "f": state.RoleDecode}
	for i := range 100 {
		engine := string(rune('a' + i*7%6))
		rows := make([][]string, 0, len(roles))
		for name, role := range roles {
			phase := state.PhaseServing
			if i%4 == 0 && name == "f" {
				phase = state.PhaseLeaving
			}
			rows = append(rows, []string{name, string(role), string(phase)})
		}
		if role, ok := otherRole(rows, engine); ok {
			roles[engine] = role
		}
		count := make(map[state.Role]int)
		for _, role := range roles {
			count[role]++
		}
		if count[state.RolePrefill] < minEnginesPerRole || count[state.RoleDecode] < minEnginesPerRole {
			t.Fatalf("after assignment %d: %v", i, roles)
		}
	}
	if _, ok := otherRole(nil, "a"); ok {
		t.Fatal("an unknown engine was moved")
	}
}
