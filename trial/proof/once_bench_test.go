package proof_test

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/keeper"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/trial/fleet"
)

// BenchmarkOnce runs both ledger steps of run-once calls on three keepers, each
// with its own data folder. One caller shows the cost of a separate commit for
// each step; 64 callers show what group commit saves.
func BenchmarkOnce(b *testing.B) {
	bin, err := fleet.BuildPrograms(b.Context(), b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	folder := b.TempDir()
	f, cleanup, err := fleet.Start(b.Context(), fleet.Options{Bin: bin, Folder: folder, Keepers: 3, Centres: []string{"north"}})
	if err != nil {
		b.Fatal(err)
	}
	defer cleanup()
	k := ledgerClient(b, f, folder)
	var number atomic.Int64
	for _, callers := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var group sync.WaitGroup
			remaining := int64(b.N)
			start := time.Now()
			for range callers {
				group.Go(func() {
					for atomic.AddInt64(&remaining, -1) >= 0 {
						beginAndFinish(b, k, fmt.Sprint("key", number.Add(1)))
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "calls/s")
		})
	}
}

// ledgerClient returns a client of a fleet's keepers that authenticates as entry
// instance entry1.
func ledgerClient(tb testing.TB, f *fleet.Fleet, folder string) proto.Keeper {
	tb.Helper()
	folder = filepath.Join(folder, "keys")
	if err := keys.IssueCertificate(folder, "entry1", time.Now().Add(-time.Hour), 2*time.Hour); err != nil {
		tb.Fatal(err)
	}
	config, err := keys.Load(keys.Files{
		Authority: filepath.Join(folder, keys.AuthorityCert),
		Cert:      filepath.Join(folder, "entry1.crt"), Key: filepath.Join(folder, "entry1.key"),
	})
	if err != nil {
		tb.Fatal(err)
	}
	addresses := make(map[string]string)
	for _, p := range f.Keepers() {
		addresses[p.Name()] = p.LinkAddress()
	}
	k, cleanup := keeper.New(addresses, config)
	tb.Cleanup(cleanup)
	return k
}

func beginAndFinish(b *testing.B, k proto.Keeper, key string) {
	q := proto.OnceRequest{Step: proto.OnceBegin, Account: "a", Service: "s", Key: key, Fingerprint: "f", Attempt: key, Holder: "entry1/1"}
	r, err := k.Once(b.Context(), q)
	if err != nil || r.Verdict != proto.VerdictProceed {
		b.Errorf("begin: verdict %s, error %v", r.Verdict, err)
	}
	q.Step, q.Status, q.Body = proto.OnceFinish, 200, []byte(`{"permit":4711}`)
	if r, err = k.Once(b.Context(), q); err != nil || r.Verdict != proto.VerdictRecorded {
		b.Errorf("finish: verdict %s, error %v", r.Verdict, err)
	}
}
