package ledger_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/ledger"
)

// keyModel is the expected state of one key, from the verdicts so far.
type keyModel struct {
	allowed string          // attempt that was allowed to start and may be sent
	sent    map[string]bool // attempts that were sent
	closed  map[string]bool // attempts that may never start
}

// checkStep checks a verdict against all earlier ones and updates the model.
func (m *keyModel) checkStep(t *rapid.T, q proto.OnceRequest, r proto.OnceReply) {
	switch {
	case q.Step == proto.OnceBegin && r.Verdict == proto.VerdictProceed:
		if m.closed[q.Attempt] {
			t.Fatalf("%s starts after it was closed", q.Attempt)
		}
		if m.allowed != "" && m.allowed != q.Attempt {
			t.Fatalf("%s starts while %s may run", q.Attempt, m.allowed)
		}
		m.allowed = q.Attempt
	case q.Step == proto.OnceClose && r.Verdict == proto.VerdictClosed:
		if m.sent[q.Attempt] {
			t.Fatalf("%s is closed after it was sent", q.Attempt)
		}
		m.closed[q.Attempt] = true
		if m.allowed == q.Attempt {
			m.allowed = ""
		}
	case r.Verdict == proto.VerdictReplay && string(r.Body) != "answer "+m.allowed:
		t.Fatalf("replay of %q, but attempt %s ran", r.Body, m.allowed)
	}
}

// At most one attempt of a key is ever sent, and none that was closed, while the
// steps of two holders come in any order, are lost and sent again, and holders are
// lost and return.
func TestOneRunPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		l := ledger.New(ledger.Settings{TTL: time.Hour, MaxBytes: 3600})
		models := map[string]*keyModel{}
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
			attempt := rapid.IntRange(0, 4).Draw(t, "attempt")
			q := proto.OnceRequest{Account: "a", Service: "s", Key: key, Fingerprint: "f", Attempt: fmt.Sprint(key, "-", attempt), Holder: fmt.Sprint("h", attempt%2)}
			m := models[key]
			if m == nil {
				m = &keyModel{sent: map[string]bool{}, closed: map[string]bool{}}
				models[key] = m
			}
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0, 1:
				q.Step = proto.OnceBegin
			case 2: // the holder sends the attempt that was allowed to start
				if m.allowed != q.Attempt || m.sent[q.Attempt] {
					continue
				}
				m.sent[q.Attempt] = true
				if len(m.sent) > 1 {
					t.Fatalf("more than one attempt was sent: %v", m.sent)
				}
				continue
			case 3:
				if !m.sent[q.Attempt] {
					continue
				}
				q.Step, q.Status, q.Body = proto.OnceFinish, 200, []byte("answer "+q.Attempt)
			case 4:
				if m.allowed == q.Attempt && m.sent[q.Attempt] {
					continue // a holder never closes an attempt that it has sent
				}
				q.Step = proto.OnceClose
			case 5:
				q.Step = proto.OnceLookup
			case 6:
				l.MarkLost(now, q.Holder)
				continue
			}
			m.checkStep(t, q, l.Apply(now, q))
			l = restored(t, l)
		}
	})
}

// restored returns a ledger restored from a snapshot of the original, and checks
// that its own snapshot and size are the same.
func restored(t *rapid.T, original *ledger.Ledger) *ledger.Ledger {
	before, err := original.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restoredLedger := ledger.New(ledger.Settings{})
	if err := restoredLedger.Restore(before); err != nil {
		t.Fatal(err)
	}
	after, err := restoredLedger.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(before, after) || original.UsedBytes() != restoredLedger.UsedBytes() {
		t.Fatalf("restored ledger differs: %d bytes before, %d after", original.UsedBytes(), restoredLedger.UsedBytes())
	}
	return restoredLedger
}

// step applies a step at a time after the start, with fixed values for the rest.
func step(l *ledger.Ledger, elapsed time.Duration, kind proto.OnceStep, account, key, attempt, holder string) proto.OnceReply {
	return l.Apply(time.Unix(1000, 0).Add(elapsed), proto.OnceRequest{
		Step: kind, Account: account, Service: "permit", Key: key, Fingerprint: "f", Attempt: attempt, Holder: holder,
		Status: 200, Body: []byte("done"),
	})
}

func TestVerdicts(t *testing.T) {
	l := ledger.New(ledger.Settings{TTL: time.Minute, MaxBytes: 2500})
	expect := func(want proto.Verdict, got proto.OnceReply) {
		t.Helper()
		if got.Verdict != want {
			t.Fatalf("verdict %s, want %s", got.Verdict, want)
		}
	}
	expect(proto.VerdictProceed, step(l, 0, proto.OnceBegin, "ada", "k", "1", "h1"))
	expect(proto.VerdictProceed, step(l, 0, proto.OnceBegin, "ada", "k", "1", "h1"))
	expect(proto.VerdictBusy, step(l, 0, proto.OnceBegin, "ada", "k", "2", "h2"))
	expect(proto.VerdictNotFound, step(l, 0, proto.OnceLookup, "bob", "k", "9", "h2"))
	expect(proto.VerdictProceed, step(l, 0, proto.OnceClose, "ada", "k", "1", "h2"))
	if n := l.MarkLost(time.Unix(1001, 0), "h1"); n != 1 {
		t.Fatalf("%d calls marked as unknown, want 1", n)
	}
	expect(proto.VerdictOutcomeUnknown, step(l, 0, proto.OnceBegin, "ada", "k", "2", "h2"))
	expect(proto.VerdictRecorded, step(l, 0, proto.OnceFinish, "ada", "k", "1", "h1"))
	expect(proto.VerdictReplay, step(l, 0, proto.OnceBegin, "ada", "k", "2", "h2"))
	expect(proto.VerdictReplay, step(l, 0, proto.OnceClose, "ada", "k", "1", "h1"))
	// An attempt is closed before it starts, and another by its holder before it is sent.
	expect(proto.VerdictClosed, step(l, 0, proto.OnceClose, "ada", "j", "1", "h1"))
	expect(proto.VerdictClosed, step(l, 0, proto.OnceBegin, "ada", "j", "1", "h1"))
	expect(proto.VerdictProceed, step(l, 0, proto.OnceBegin, "ada", "j", "2", "h1"))
	expect(proto.VerdictClosed, step(l, 0, proto.OnceClose, "ada", "j", "2", "h1"))
	expect(proto.VerdictProceed, step(l, 0, proto.OnceBegin, "ada", "j", "3", "h1"))
	// A full ledger records nothing, and has space again once records expire.
	for i := range 3 {
		step(l, 0, proto.OnceBegin, "ada", fmt.Sprint("more", i), "1", "h1")
	}
	refused := step(l, 0, proto.OnceBegin, "ada", "last", "1", "h1")
	expect(proto.VerdictFull, refused)
	expect(proto.VerdictNotFound, step(l, 0, proto.OnceLookup, "ada", "last", "1", "h1"))
	expect(proto.VerdictProceed, step(l, refused.RetryAfter+2*time.Second, proto.OnceBegin, "ada", "last", "1", "h1"))
}

func BenchmarkRecord(b *testing.B) {
	l := ledger.New(ledger.Settings{TTL: time.Hour, MaxBytes: 1 << 40})
	b.ReportAllocs()
	for i := range b.N {
		key := fmt.Sprint("key", i)
		step(l, 0, proto.OnceBegin, "ada", key, "attempt-"+key, "entry1@1")
		step(l, 0, proto.OnceFinish, "ada", key, "attempt-"+key, "entry1@1")
	}
}

// BenchmarkMemory reports the heap per record with 100,000 answered calls.
func BenchmarkMemory(b *testing.B) {
	const records = 100000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := ledger.New(ledger.Settings{TTL: time.Hour, MaxBytes: 1 << 40})
		for i := range records {
			key := fmt.Sprint("permit-", i)
			step(l, 0, proto.OnceBegin, "account1", key, "attempt-"+key, "entry1/1")
			step(l, 0, proto.OnceFinish, "account1", key, "attempt-"+key, "entry1/1")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "heap-bytes/record")
		b.ReportMetric(float64(l.UsedBytes())/records, "counted-bytes/record")
		runtime.KeepAlive(l)
	}
}

// BenchmarkSnapshot takes a snapshot of 100,000 answered calls.
func BenchmarkSnapshot(b *testing.B) {
	l := ledger.New(ledger.Settings{TTL: time.Hour, MaxBytes: 1 << 40})
	for i := range 100000 {
		key := fmt.Sprint("permit-", i)
		step(l, 0, proto.OnceBegin, "account1", key, "attempt-"+key, "entry1/1")
		step(l, 0, proto.OnceFinish, "account1", key, "attempt-"+key, "entry1/1")
	}
	b.ResetTimer()
	for range b.N {
		snapshot, err := l.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(snapshot)))
	}
}
