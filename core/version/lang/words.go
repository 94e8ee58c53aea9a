package lang

import (
	"sort"
	"strings"

	"verbenahaven.example/core/version/state"
)

// nounsByVerb lists the nouns that each verb accepts.
var nounsByVerb = map[state.Verb][]state.Noun{
	VerbAsk: {
		state.NounService, state.NounModel, state.NounEngine, state.NounServer, state.NounAccount,
		state.NounMember, state.NounStrike, state.NounOrder, state.NounDecision,
	},
	VerbExplain: {state.NounEngine, state.NounOrder, state.NounDecision, state.NounCall},
	state.VerbDeclare: {
		state.NounService, state.NounModel, state.NounEngine, state.NounServer, state.NounAccount, state.NounMember,
	},
	state.VerbAssign: {state.NounEngine},
	state.VerbDrain:  {state.NounEngine, state.NounServer, state.NounMember},
	state.VerbWithdraw: {
		state.NounService, state.NounModel, state.NounEngine, state.NounServer, state.NounAccount, state.NounMember,
	},
	state.VerbReplace: {state.NounEngine, state.NounServer},
}

// declarableKeys lists the keys that declare accepts for each noun.
var declarableKeys = map[state.Noun][]string{
	state.NounService: {"kind", "model", "adapter", "revision", "class", "deadline", "first", "once"},
	state.NounModel:   {"revision", "adapters"},
	state.NounEngine:  {"url", "centre", "role", "model", "adapter", "revision", "build", "fenced"},
	state.NounServer:  {"url", "centre", "service"},
	state.NounAccount: {"digest", "token", "tokens", "requests", "operator"},
	state.NounMember:  {}, // members register themselves; declare undoes a drain
}

var assignableKeys = []string{"role", "model", "adapter", "revision"}

// allowedKeys returns the keys that a verb accepts for a noun.
func allowedKeys(verb state.Verb, noun state.Noun) []string {
	if verb == state.VerbAssign {
		return assignableKeys
	}
	return declarableKeys[noun]
}

// findNoun returns the noun that a word names in the singular or plural.
func findNoun(verb state.Verb, w nounNode) (state.Noun, error) {
	allowed := nounsByVerb[verb]
	for _, n := range allowed {
		if w.Text == string(n) || w.Text == plural(n) {
			return n, nil
		}
	}
	names := make([]string, len(allowed))
	for i, n := range allowed {
		names[i] = string(n)
		if verb == VerbAsk {
			names[i] = plural(n)
		}
	}
	return "", errorAt(w.Pos, string(verb)+" can't take "+quote(w.Text), oneOf(names))
}

func plural(n state.Noun) string {
	return string(n) + "s"
}

func verbList() string {
	list := make([]string, 0, len(verbGrammars))
	for v := range verbGrammars {
		list = append(list, v)
	}
	sort.Strings(list)
	return oneOf(list)
}

func oneOf(list []string) string {
	switch len(list) {
	case 0:
		return "the end of the statement"
	case 1:
		return list[0]
	}
	return "one of " + strings.Join(list, ", ")
}

func contains(list []string, text string) bool {
	for _, s := range list {
		if s == text {
			return true
		}
	}
	return false
}
