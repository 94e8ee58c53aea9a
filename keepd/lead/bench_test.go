package lead_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/lead"
)

// BenchmarkBeat measures heartbeats of 320 instances, each with the demand for
// 19 services and the reports of 12 engines.
func BenchmarkBeat(b *testing.B) {
	const members, services, engines = 320, 19, 12
	s := conf.Default()
	st := store.New()
	l := lead.New(s, &fakeLog{store: st, term: 1, lease: time.Second}, st, &fakeClock{}, meter.New(), lead.NewNativeClient())
	beats := make([]proto.HeartbeatRequest, members)
	for i := range beats {
		q := heartbeat(fmt.Sprint("entry", i), state.PhaseServing)
		for j := range services {
			q.Demand = append(q.Demand, proto.Demand{Service: fmt.Sprint("service", j), RequestRate: 1.5, PrefillRate: 1000.5, DecodeRate: 100.5})
		}
		for j := range engines {
			q.Reports = append(q.Reports, proto.Report{Engine: fmt.Sprint("engine", (i*3+j)%910), At: time.Unix(1000, 0), Role: state.RoleDecode, Running: 20, KVUsage: 0.5})
		}
		beats[i] = q
	}
	body, err := cbor.Marshal(beats[0])
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		q := beats[i%members]
		if _, err := l.Heartbeat(b.Context(), q.Member.Name, q); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(body)), "bytes/beat")
}
