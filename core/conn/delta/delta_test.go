package delta_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/delta"
)

type item struct {
	name  string
	value int
}

func name(i item) string { return i.name }

func ExampleSender() {
	s, r := delta.NewSender(name, 2, 10, 0), delta.NewReceiver(name)
	r.Apply(s.Next("a", r.Revision(), []item{{"x", 1}, {"y", 1}, {"z", 1}}))
	c := s.Next("a", r.Revision(), []item{{"x", 1}, {"z", 2}})
	fmt.Println(c.Items, c.Gone, r.Apply(c))
	// Output: [{z 2}] [y] [{x 1} {z 2}]
}

// Replies are lost, senders are replaced, and there are more receivers than the sender keeps.
func TestReceiversHaveListOfLastReply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		term := uint64(1)
		newSender := func() *delta.Sender[item] { return delta.NewSender(name, 3, 2, term<<32) }
		sender, receivers := newSender(), make([]*delta.Receiver[item], 3)
		for i := range receivers {
			receivers[i] = delta.NewReceiver(name)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "replaced") == 0 {
				term++
				sender = newSender()
			}
			var list []item
			for i, v := range rapid.SliceOfN(rapid.IntRange(0, 3), 6, 6).Draw(t, "values") {
				if v > 0 {
					list = append(list, item{string(rune('a' + i)), v})
				}
			}
			n := rapid.IntRange(0, len(receivers)-1).Draw(t, "receiver")
			c := sender.Next(fmt.Sprint(n), receivers[n].Revision(), list)
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				continue
			}
			if got := receivers[n].Apply(c); !slices.Equal(got, list) {
				t.Fatalf("receiver %d has %v after %+v, sent was %v", n, got, c, list)
			}
		}
	})
}

func TestChangeOfUnknownListIsAskedForAgain(t *testing.T) {
	r := delta.NewReceiver(name)
	r.Apply(delta.Change[item]{Revision: 7, Items: []item{{"x", 1}}})
	if got := r.Apply(delta.Change[item]{Base: 8, Revision: 9, Items: []item{{"y", 1}}}); len(got) != 1 || r.Revision() != 0 {
		t.Errorf("list %v, revision %d", got, r.Revision())
	}
}
