package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/roster"
	"verbenahaven.example/core/version/state"
)

// member is an entry instance, with the version of its state and its calls at the server.
type member struct {
	state.Member
	version  uint64
	inFlight uint32
}

// Plays instances that stand still, miss changes or start anew, whose heartbeats are lost,
// held up and repeated, and new leaders: no server counts as drained while an instance runs a
// call there or may begin one by its state.
func TestServerIsDrainedForAllInstances(t *testing.T) {
	drained := 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		serving, left := []bool{true}, uint64(0) // by version; the version since which it isn't
		list, members := make([]member, 3), make([]state.Member, 3)
		for i := range list {
			members[i] = state.Member{Name: fmt.Sprint("i", i), Kind: state.MemberEntry, Phase: state.PhaseServing}
			list[i].Member = members[i]
		}
		r := roster.New(0, settings())
		var held []proto.HeartbeatRequest
		for range 400 {
			m := &list[random.IntN(len(list))]
			newer := m.version + uint64(random.IntN(len(serving)-int(m.version)))
			q := proto.HeartbeatRequest{Member: m.Member, Version: m.version, InFlight: make(map[string]uint32)}
			if !serving[m.version] {
				q.InFlight["e"] = m.inFlight
			}
			switch random.IntN(24) {
			case 0:
				if serving = append(serving, random.IntN(3) == 0); serving[len(serving)-2] {
					left = uint64(len(serving) - 1)
				}
			case 1:
				m.version, m.inFlight = newer, 0 // another run
			case 2:
				if random.IntN(4) == 0 {
					r = roster.New(0, settings())
				}
			case 3, 4, 5, 6:
				m.version = newer
			case 7, 8, 9:
				if serving[m.version] {
					m.inFlight++
				}
			case 10, 11, 12, 13, 14:
				m.inFlight -= min(m.inFlight, 1)
			case 15, 16:
				held = append(held, q)
			case 17, 18:
				if len(held) > 0 {
					r.RecordHeartbeat(time.Millisecond, held[random.IntN(len(held))])
				}
			default:
				r.RecordHeartbeat(time.Millisecond, q)
			}
			if serving[len(serving)-1] || !r.Drained(members, "e", left) {
				continue
			}
			drained++
			for i := range list {
				if list[i].version < left || list[i].inFlight > 0 {
					t.Fatalf("drained as of version %d; %s has version %d and %d calls there", left, list[i].Name, list[i].version, list[i].inFlight)
				}
			}
		}
	})
	if drained < 100 {
		t.Errorf("drained %d times: too little was played", drained)
	}
}

// A report of an engine that an instance had held up took the place of a newer one.
func TestOlderReportOfEngineIsDropped(t *testing.T) {
	r := roster.New(0, settings())
	for n, at := range []int64{5, 7, 6, 7, 3} {
		report := proto.Report{Engine: "e", At: time.Unix(at, 0), Alive: true, Running: n}
		r.RecordHeartbeat(0, proto.HeartbeatRequest{Member: members[n%2], Reports: []proto.Report{report}})
	}
	if p, _ := r.Report("e"); p.At.Unix() != 7 || p.Running != 3 {
		t.Errorf("the newest report is %+v", p)
	}
}
