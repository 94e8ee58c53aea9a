package sched_test

import (
	"fmt"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/sched"
	"verbenahaven.example/core/version/state"
)

// BenchmarkDecide measures a decision for a long prompt and one for a long answer on
// uneven engines. Together they should take less than 40 microseconds at 30 engines and
// 200 at 300, and not grow with the pool from there on.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list, reports := make([]state.Engine, 0, n), make([]proto.Report, 0, n)
			for i := range n {
				e := state.Engine{Name: fmt.Sprintf("e%03d", i), URL: fmt.Sprintf("http://10.0.%d.%d:1", i/250, i%250), Centre: fmt.Sprint(i % 3), Pool: "p", Role: state.RoleDecode, Phase: state.PhaseServing}
				if i%5 < 3 {
					e.Role = state.RolePrefill
				}
				list = append(list, e)
				gap := time.Duration(30+10*(i%4)) * time.Millisecond
				reports = append(reports, proto.Report{Engine: e.Name, Alive: true, Role: e.Role, PrefillRate: 1e5, EventGap: gap, SlowGap: 5 * gap / 2})
			}
			s := sched.New("0")
			s.Update(list, &state.RoutingTable{
				Routes: []state.Route{{GapTarget: 150 * time.Millisecond, Weights: []state.PoolWeight{{Pool: "p", Weight: 1}}}},
				Pools:  []state.Pool{{Name: "p", Spec: &state.EngineSpec{BatchSize: 8, KVTokens: 100_000, MaxTokensPerEvent: 75}}},
			})
			s.SetBroker(true)
			s.ApplyReports(time.Unix(1000, 0), reports, nil)
			now := time.Unix(1000, 0)
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				for _, output := range []int{100, 5000} {
					r := &sched.Request{TimeLeft: 2 * time.Second, Admit: true}
					r.ID, r.Pool, r.Target, r.GapTarget = fmt.Sprint(i, output), "p", 200*time.Millisecond, 150*time.Millisecond
					r.Prompt = &server.Prompt{Tokens: 9000 - output, MaxOutput: output, Parts: []server.Part{{ID: fmt.Sprint(i % 60), Tokens: 6000}, {ID: r.ID, Tokens: 3000 - output}}}
					d, err := s.Decide(now, r)
					if err != nil {
						b.Fatal(err)
					}
					if !d.Refused {
						s.Apply(now, &proto.PlaceEvent{Kind: proto.PlaceEnded, ID: r.ID, Tokens: output})
					}
				}
			}
		})
	}
}
