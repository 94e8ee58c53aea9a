package lang_test

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"verbenahaven.example/core/version/lang"
)

var valueGen = rapid.OneOf(
	rapid.StringMatching(`[a-z0-9:/._-]{1,12}`),
	rapid.SampledFrom([]string{"where", "and", "desc", "with", "a,b", "x y", `q"q`, "line\nline", "#", "ü", "=", ""}),
	rapid.String(),
)

func drawOne(t *rapid.T, list ...string) string {
	return rapid.SampledFrom(list).Draw(t, "word")
}

func quoted(s string) string {
	r := strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\r", `\r`)
	return `"` + r.Replace(strings.ToValidUTF8(s, "")) + `"`
}

func drawAsk(t *rapid.T) string {
	words := []string{"ask", drawOne(t, "engines", "engine")}
	for i := range rapid.IntRange(0, 3).Draw(t, "conditions") {
		words = append(words, []string{"where", "and", "and"}[i], drawOne(t, "name", "role", "centre"),
			drawOne(t, "=", "!=", "<", ">", "<=", ">=", "~"), quoted(valueGen.Draw(t, "value")))
	}
	if rapid.Bool().Draw(t, "show") {
		words = append(words, "show name , role")
	}
	if rapid.Bool().Draw(t, "sort") {
		words = append(words, "sort by", drawOne(t, "name", "version"), drawOne(t, "", "desc"))
	}
	words = append(words, drawOne(t, "", "limit 0", "limit 12"), drawOne(t, "", "count"))
	return strings.Join(words, " ")
}

func drawChange(t *rapid.T) string {
	name := quoted("n" + valueGen.Draw(t, "name"))
	text := drawOne(t, "declare engine", "assign engine", "drain engine", "withdraw server", "replace server") + " " + name
	switch {
	case strings.HasPrefix(text, "replace"):
		return text + " with " + quoted("m"+valueGen.Draw(t, "target"))
	case strings.HasPrefix(text, "declare"), strings.HasPrefix(text, "assign"):
		return text + " role " + quoted(valueGen.Draw(t, "role")) + " model " + quoted(valueGen.Draw(t, "model"))
	default:
		return text
	}
}

// TestRoundTrip checks that the canonical form of a statement parses to an
// equal statement.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text string
		if rapid.Bool().Draw(t, "ask") {
			text = drawAsk(t)
		} else {
			text = drawChange(t)
		}
		checkRoundTrip(t, text)
	})
}

type fatalfer interface {
	Fatalf(format string, args ...any)
}

func checkRoundTrip(t fatalfer, text string) {
	statements, err := lang.Parse(text)
	if err != nil {
		t.Fatalf("parse %q: %v", text, err)
	}
	for _, s := range statements {
		again, err := lang.ParseOne(s.String())
		if err != nil {
			t.Fatalf("%q wrote %q: %v", text, s, err)
		}
		if again.String() != s.String() {
			t.Fatalf("%q wrote %q, then %q", text, s, again)
		}
		c, changes := s.Change()
		d, changesAgain := again.Change()
		if changes != changesAgain || !reflect.DeepEqual(c, d) {
			t.Fatalf("%q: %+v became %+v", text, c, d)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"ask engines where role = prefill and centre = north show name, url sort by version desc limit 3",
		"ask services count # how many",
		`declare service verdict model spec revision 3 class batch deadline 30s; drain engine "e 1"`,
		"assign engine e1 role decode\nwithdraw engine e2\nreplace engine e1 with e9",
		"explain call 5f\nexplain order 7",
		`declare model spec adapters a,"b c"`,
		`drain engine "`, "ask", "ask engines where", "\xff", `declare engine "\u0000" url "\x41"`,
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := lang.Parse(text)
		var syntaxErr *lang.Error
		if errors.As(err, &syntaxErr) && (syntaxErr.Line() < 1 || syntaxErr.Column() < 1) {
			t.Fatalf("%q: no position in %v", text, err)
		}
		if err == nil {
			checkRoundTrip(t, text)
		}
	})
}
