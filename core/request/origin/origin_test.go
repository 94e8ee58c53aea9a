package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/origin"
	"verbenahaven.example/core/version/state"
)

var start = time.Unix(1000, 0)

func ExampleTable() {
	t := origin.NewTable()
	t.Record(start, proto.StreamOrigin{ID: "r1", Pool: "m", Build: "v1", Left: 10 * time.Second})
	o, known := t.Find(start.Add(4*time.Second), "r1")
	fmt.Println(o.Build, o.Left, known)
	_, known = t.Find(start.Add(11*time.Second), "r1")
	fmt.Println(known)
	// Output:
	// v1 6s true
	// false
}

// 8,000 streams a second begin.
func TestTableForgetsStreamsThatCallersGaveUp(t *testing.T) {
	table := origin.NewTable()
	now := start
	for i := range 40_000 {
		now = now.Add(125 * time.Microsecond)
		if !table.Begin(now, proto.StreamOrigin{ID: fmt.Sprint(i), Pool: "m", Build: "v1", Left: time.Second}) {
			t.Fatalf("no room for stream %d", i)
		}
	}
	if n := len(table.Begun(now, []string{"m"})); n > 8001 || n < 7900 {
		t.Fatalf("%d streams known, want those of the last second", n)
	}
	if n := len(table.Begun(now, []string{"other"})); n != 0 {
		t.Fatalf("%d streams in a pool without any", n)
	}
}

// Each instance that was told of a stream told all others once more as builds began to mix.
func TestOnlyOwnStreamsAreToldAgain(t *testing.T) {
	table := origin.NewTable()
	o := func(id string) proto.StreamOrigin {
		return proto.StreamOrigin{ID: id, Pool: "m", Build: "v1", Left: time.Minute}
	}
	table.Record(start, o("told"))
	table.Begin(start, o("own"))
	table.Record(start, o("own")) // as another instance tells it
	if list := table.Begun(start, []string{"m"}); len(list) != 1 || list[0].ID != "own" {
		t.Errorf("begun here: %+v", list)
	}
	if _, known := table.Find(start, "told"); !known {
		t.Error("a stream of another instance isn't known")
	}
}

// A tenth of 200 instances is lost at once; an instance asks before or after it
// hears of that.
func TestStreamsAreFoundAfterInstancesAreLost(t *testing.T) {
	members, lost := make([]state.Member, 200), make(map[string]bool)
	for i := range members {
		members[i] = state.Member{Name: fmt.Sprint("e", i), LinkAddress: fmt.Sprintf("10.0.0.%d:1", i)}
		lost[members[i].Name] = i < 20
	}
	const streams = 2000
	unknown, held := 0, make(map[string]int)
	for i := range streams {
		id := fmt.Sprint(i)
		knows := make(map[string]bool)
		for _, m := range origin.Holders(members, id) {
			knows[m.Name] = !lost[m.Name]
			held[m.Name]++
		}
		for _, asked := range [][]state.Member{origin.Holders(members, id), origin.Holders(members[20:], id)} {
			if !slices.ContainsFunc(asked, func(m state.Member) bool { return knows[m.Name] }) {
				unknown++
			}
		}
	}
	if unknown > 2*streams/200 {
		t.Errorf("%d of %d questions reached nobody who knows", unknown, 2*streams)
	}
	for name, n := range held {
		if n > 3*3*streams/len(members) {
			t.Errorf("%s holds %d streams of %d", name, n, streams)
		}
	}
}

func engines(builds ...string) []state.Engine {
	list := make([]state.Engine, len(builds))
	for i, b := range builds {
		list[i] = state.Engine{Name: fmt.Sprint("e", i), Pool: "m", Build: b}
	}
	return list
}

// During a release, and as long as a stream lasts after it, a stream of unknown
// origin may be of either build.
func TestSoleBuildThroughRelease(t *testing.T) {
	b := origin.NewBuilds()
	const within = 10 * time.Second
	var last []string
	for i, step := range []struct {
		at     time.Duration
		builds []string
		mixed  bool
		sole   string
	}{
		{0, []string{"v1", "v1"}, false, "v1"},
		{20 * time.Second, []string{"v1", "v1", "v2"}, true, ""},
		{25 * time.Second, []string{"v1", "v2"}, false, ""},
		{50 * time.Second, []string{"v2", "v2"}, false, ""},
		{59 * time.Second, []string{"v2", "v2"}, false, ""},
		{61 * time.Second, []string{"v2", "v2"}, false, "v2"},
		{62 * time.Second, nil, false, ""},
		{63 * time.Second, []string{"v2"}, false, "v2"},
	} {
		now := start.Add(step.at)
		if mixed := b.Update(now, uint64(i+1), engines(step.builds...), nil); (len(mixed) > 0) != step.mixed {
			t.Errorf("at %v: newly mixed pools %v", step.at, mixed)
		}
		if sole, ok := b.Sole(now, "m", within); ok && !slices.Equal(step.builds, last) {
			t.Errorf("at %v: %s is the sole build before the leader has told of others", step.at, sole)
		}
		last = step.builds
		b.Learn(now, uint64(i+1), nil)
		if sole, ok := b.Sole(now, "m", within); sole != step.sole || ok != (step.sole != "") {
			t.Errorf("at %v: sole build %q, %v, want %q", step.at, sole, ok, step.sole)
		}
	}
}

// An instance that starts after all others were killed saw one build only, and took it for
// that of streams that another one had begun.
func TestBuildThatLeftBeforeStartIsLearned(t *testing.T) {
	b, now := origin.NewBuilds(), start
	const within = 30 * time.Second
	b.Update(now, 7, engines("v2"), nil)
	if sole, ok := b.Sole(now, "m", within); ok {
		t.Errorf("%s is the sole build of an instance that has heard no leader", sole)
	}
	b.Learn(now, 6, nil) // a leader that doesn't know yet that another one left
	if sole, ok := b.Sole(now, "m", within); ok {
		t.Errorf("%s is the sole build as of an older version", sole)
	}
	for _, c := range []struct {
		age  time.Duration
		sole bool
	}{{0, false}, {20 * time.Second, false}, {29 * time.Second, false}, {31 * time.Second, true}} {
		b = origin.NewBuilds()
		b.Update(now, 7, engines("v2"), nil)
		b.Learn(now, 7, []proto.FormerBuild{{Pool: "m", Build: "v1", Age: c.age}, {Pool: "other", Build: "v1"}})
		if _, ok := b.Sole(now, "m", within); ok != c.sole {
			t.Errorf("another build left %v ago: sole %v", c.age, ok)
		}
	}
}
