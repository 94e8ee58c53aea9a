package items_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/items"
)

func ExampleMember() {
	list, others, err := items.Member([]byte(`{"entries":[{"id":1},{"id":"cut},{"id":"\q"},{"id":4}],"next":"p"}`), "entries", "next")
	for _, item := range list {
		fmt.Printf("%s %v\n", item, json.Valid(item))
	}
	fmt.Printf("%s %v\n", others["next"], err)
	// Output:
	// {"id":1} true
	// {"id":"\q"} false
	// {"id":4} true
	// "p" <nil>
}

// broken are items that no reader of JSON can use.
var broken = []string{
	strings.Repeat("[", 11_000) + strings.Repeat("]", 11_000), strings.Repeat(`{"a":`, 11_000) + "1" + strings.Repeat("}", 11_000),
	strings.Repeat("[", 11_000), strings.Repeat(`{"a":`, 11_000), strings.Repeat(`{"a":[0,`, 11_000), strings.Repeat("]", 7), strings.Repeat("}", 7),
	`{"id":"cut`, `{"id":"cut\`, `{"id":`, `{"id"`, `{`, `{"models":[{"name":"m"},{"name":"n"`, `{"id":1]`, `[1}`, `{"id":1}}`, `[1]]`,
	`{"id":NaN}`, `{"id":01}`, `{"id":"\q"}`, "{\"id\":\"\x00\xff\"}", "\x00\xff\xfe", `{id:1}`, `{'id':1}`, `{"id" 1}`, `{"id":1,}`, `"`, `\`, `:`, ``, `,`, `nul`,
}

// Whatever stands between them, whole items are found, in order.
func TestBrokenItemsTakeNoOthersWithThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all, want []string
		for i := range rapid.IntRange(1, 12).Draw(t, "items") {
			if rapid.Bool().Draw(t, "whole") {
				want = append(want, fmt.Sprintf(`{"id":"e%d","models":[{"name":"m"},{"name":"]"}],"at":"}"}`, i))
				all = append(all, want[len(want)-1])
				continue
			}
			all = append(all, rapid.SampledFrom(broken).Draw(t, "broken"))
		}
		space := rapid.SampledFrom([]string{"", " ", "\r\n\t"}).Draw(t, "space")
		text := "[" + space + strings.Join(all, space+","+space) + space + "]"
		list, err := items.Array([]byte(text))
		checkHolds(t, list, want, err)
		list, others, err := items.Member([]byte(`{"a":[],"items":`+text+`,"next":"]}"}`), "items", "next")
		checkHolds(t, list, want, err)
		if string(others["next"]) != `"]}"` {
			t.Fatalf("other members %q", others)
		}
	})
}

func checkHolds(t *rapid.T, list []json.RawMessage, want []string, err error) {
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range list {
		if len(want) > 0 && string(item) == want[0] {
			want = want[1:]
		}
	}
	if len(want) > 0 {
		t.Fatalf("%s is missing", want[0])
	}
}

// The first part of a list must not be taken for the whole.
func TestCutListIsUnreadable(t *testing.T) {
	text := `{"items":[{"id":1},{"id":[2,{"x":"]}"}],"a":[1],"b":2},{"id":NaN},{"id":"cut},{"id":[{}]},"3"],"next":null}`
	for n := range len(text) {
		if list, _, err := items.Member([]byte(text[:n]), "items", "next"); err == nil {
			t.Errorf("%s: taken as %q", text[:n], list)
		}
	}
	for _, bad := range []string{"", "null", "{}", "[", "[1", "[{}", `[{"a":1`, `[1]"`} {
		if list, err := items.Array([]byte(bad)); err == nil {
			t.Errorf("%s: taken as %q", bad, list)
		}
	}
}

// Valid documents are read as encoding/json reads them.
func FuzzArray(f *testing.F) {
	f.Add([]byte(` [ {"a":[1,{}],"b":"]\"\\"} , null,-1e400,[[]] ] `))
	for _, text := range broken {
		f.Add([]byte(`[{},` + text + `,{"id":1}]`))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := items.Array(b)
		var want []json.RawMessage
		if !json.Valid(b) || bytes.HasPrefix(bytes.TrimSpace(b), []byte("n")) || json.Unmarshal(b, &want) != nil {
			return
		}
		if err != nil || !slices.EqualFunc(list, want, func(a, b json.RawMessage) bool { return bytes.Equal(a, b) }) {
			t.Fatalf("%q: %q, %v", b, list, err)
		}
	})
}
