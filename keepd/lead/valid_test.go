package lead

import (
	"math"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/version/state"
)

// Guards against impossible values in the sums over all instances: a single NaN would make
// the whole sum NaN. Valid values of the same heartbeat count.
func TestHostileValuesOfHeartbeatAreDropped(t *testing.T) {
	l := &Leader{meter: meter.New()}
	q := proto.HeartbeatRequest{
		Member: state.Member{Name: "a"},
		Demand: []proto.Demand{
			{Service: "s", RequestRate: 1}, {Service: "s", RequestRate: math.NaN()}, {Service: "s", PrefillRate: math.Inf(1)}, {Service: "s", RefusalRate: -1}, {RequestRate: 1},
		},
		OwnWork: []proto.EngineWork{{Engine: "e", Streams: 1}, {Engine: "e", PrefillTokens: -1}, {Engine: "e", KVTokens: math.MaxInt}, {Engine: strings.Repeat("x", maxTextBytes+1)}},
		Speeds:  []proto.EngineSpeed{{Engine: "e", Prefills: 1}, {Engine: "e", Seconds: math.NaN()}, {Engine: "e", Tokens: 1e300}},
		Limits:  []proto.ServerLimit{{Server: "e", Rate: 1}, {Server: "e", Rate: math.NaN()}, {Server: "e", Age: -time.Hour}},
		Notices: []proto.ServerNotice{{Server: "e", Start: "1"}, {Server: "e", Age: -time.Hour}, {Start: "1"}, {Server: "e", Start: strings.Repeat("x", maxTextBytes+1)}},
		Reports: []proto.Report{{Engine: "e", KVUsage: 0.5}, {Engine: "e", KVUsage: math.NaN()}, {Engine: "e", Running: -1}, {Engine: "e", TPOT: -1}},
	}
	l.dropInvalid(&q)
	if len(q.Demand) != 1 || len(q.OwnWork) != 1 || len(q.Speeds) != 1 || len(q.Limits) != 1 || len(q.Notices) != 1 || len(q.Reports) != 1 {
		t.Errorf("%+v", q)
	}
	if n := l.meter.Value("heartbeat", "invalid"); n != 1 {
		t.Errorf("%d counted", n)
	}
	q.Demand = make([]proto.Demand, 3*maxHeartbeatItems)
	if l.dropInvalid(&q); len(q.Demand) != 0 {
		t.Errorf("%d demands", len(q.Demand))
	}
}
