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

// model follows what the ledger promised for one key.
type model struct {
	running string          // attempt that was told to start and may be sent
	sent    map[string]bool // attempts whose call left
	closed  map[string]bool // attempts that were promised never to start
}

// checkStep compares a verdict with all promises before it.
func (m *model) checkStep(t *rapid.T, q proto.OnceRequest, r proto.OnceReply) {
	switch {
	case q.Step == proto.OnceBegin && r.Verdict == proto.VerdictStart:
		if m.closed[q.Attempt] {
			t.Fatalf("%s starts after it was closed", q.Attempt)
		}
		if m.running != "" && m.running != q.Attempt {
			t.Fatalf("%s starts beside %s", q.Attempt, m.running)
		}
		m.running = q.Attempt
	case q.Step == proto.OnceClose && r.Verdict == proto.VerdictClosed:
		if m.sent[q.Attempt] {
			t.Fatalf("%s is closed after it was sent", q.Attempt)
		}
		m.closed[q.Attempt] = true
		if m.running == q.Attempt {
			m.running = ""
		}
	case r.Verdict == proto.VerdictReplay && string(r.Body) != "answer "+m.running:
		t.Fatalf("replay of %q, ran %s", r.Body, m.running)
	}
}

// The steps of two holders race in any order, are lost and resent, while
// holders vanish and come back: at most one attempt of a key is ever sent, and
// none that was closed.
func TestOneRunPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		a := ledger.New(ledger.Settings{Life: time.Hour, Bytes: 3600})
		models := map[string]*model{}
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
			n := rapid.IntRange(0, 4).Draw(t, "attempt")
			q := proto.OnceRequest{Account: "a", Service: "s", Key: key, Fingerprint: "f", Attempt: fmt.Sprint(key, "-", n), Holder: fmt.Sprint("h", n%2)}
			m := models[key]
			if m == nil {
				m = &model{sent: map[string]bool{}, closed: map[string]bool{}}
				models[key] = m
			}
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0, 1:
				q.Step = proto.OnceBegin
			case 2: // the holder sends what it was told to start, then records it
				if m.running != q.Attempt || m.sent[q.Attempt] {
					continue
				}
				m.sent[q.Attempt] = true
				if len(m.sent) > 1 {
					t.Fatalf("second run: %v", m.sent)
				}
				continue
			case 3:
				if !m.sent[q.Attempt] {
					continue
				}
				q.Step, q.Status, q.Body = proto.OnceFinish, 200, []byte("answer "+q.Attempt)
			case 4:
				if m.running == q.Attempt && m.sent[q.Attempt] {
					continue // a holder that sent it never closes it
				}
				q.Step = proto.OnceClose
			case 5:
				q.Step = proto.OnceLookup
			case 6:
				a.Lost(now, q.Holder)
				continue
			}
			m.checkStep(t, q, a.Step(now, q))
			a = restored(t, a)
		}
	})
}

func restored(t *rapid.T, a *ledger.Ledger) *ledger.Ledger {
	x, err := a.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	b := ledger.New(ledger.Settings{})
	if err := b.Restore(x); err != nil {
		t.Fatal(err)
	}
	y, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(x, y) || a.Bytes() != b.Bytes() {
		t.Fatalf("restored ledger differs: %d and %d bytes", a.Bytes(), b.Bytes())
	}
	return b
}

func step(l *ledger.Ledger, at time.Duration, s proto.OnceStep, account, key, attempt, holder string) proto.OnceReply {
	return l.Step(time.Unix(1000, 0).Add(at), proto.OnceRequest{
		Step: s, Account: account, Service: "permit", Key: key, Fingerprint: "f", Attempt: attempt, Holder: holder,
		Status: 200, Body: []byte("done"),
	})
}

func TestVerdicts(t *testing.T) {
	l := ledger.New(ledger.Settings{Life: time.Minute, Bytes: 2500})
	expect := func(want proto.Verdict, got proto.OnceReply) {
		t.Helper()
		if got.Verdict != want {
			t.Fatalf("verdict %s, want %s", got.Verdict, want)
		}
	}
	expect(proto.VerdictStart, step(l, 0, proto.OnceBegin, "ada", "k", "1", "h1"))
	expect(proto.VerdictStart, step(l, 0, proto.OnceBegin, "ada", "k", "1", "h1"))
	expect(proto.VerdictBusy, step(l, 0, proto.OnceBegin, "ada", "k", "2", "h2"))
	expect(proto.VerdictNone, step(l, 0, proto.OnceLookup, "bob", "k", "9", "h2"))
	expect(proto.VerdictStart, step(l, 0, proto.OnceClose, "ada", "k", "1", "h2"))
	if n := l.Lost(time.Unix(1001, 0), "h1"); n != 1 {
		t.Fatalf("%d calls lost", n)
	}
	expect(proto.VerdictUnknown, step(l, 0, proto.OnceBegin, "ada", "k", "2", "h2"))
	expect(proto.VerdictDone, step(l, 0, proto.OnceFinish, "ada", "k", "1", "h1"))
	expect(proto.VerdictReplay, step(l, 0, proto.OnceBegin, "ada", "k", "2", "h2"))
	expect(proto.VerdictReplay, step(l, 0, proto.OnceClose, "ada", "k", "1", "h1"))
	// Closed before it began, and closed by its own holder before it was sent.
	expect(proto.VerdictClosed, step(l, 0, proto.OnceClose, "ada", "j", "1", "h1"))
	expect(proto.VerdictClosed, step(l, 0, proto.OnceBegin, "ada", "j", "1", "h1"))
	expect(proto.VerdictStart, step(l, 0, proto.OnceBegin, "ada", "j", "2", "h1"))
	expect(proto.VerdictClosed, step(l, 0, proto.OnceClose, "ada", "j", "2", "h1"))
	expect(proto.VerdictStart, step(l, 0, proto.OnceBegin, "ada", "j", "3", "h1"))
	// Full: nothing is recorded, and there is room again once records expire.
	for i := range 3 {
		step(l, 0, proto.OnceBegin, "ada", fmt.Sprint("more", i), "1", "h1")
	}
	full := step(l, 0, proto.OnceBegin, "ada", "last", "1", "h1")
	expect(proto.VerdictFull, full)
	expect(proto.VerdictNone, step(l, 0, proto.OnceLookup, "ada", "last", "1", "h1"))
	expect(proto.VerdictStart, step(l, full.Retry+2*time.Second, proto.OnceBegin, "ada", "last", "1", "h1"))
}

func BenchmarkRecord(b *testing.B) {
	l := ledger.New(ledger.Settings{Life: time.Hour, Bytes: 1 << 40})
	b.ReportAllocs()
	for i := range b.N {
		key := fmt.Sprint("key", i)
		step(l, 0, proto.OnceBegin, "ada", key, "attempt-"+key, "entry1@1")
		step(l, 0, proto.OnceFinish, "ada", key, "attempt-"+key, "entry1@1")
	}
}

// BenchmarkMemory reports the heap that 100,000 answered calls take.
func BenchmarkMemory(b *testing.B) {
	const records = 100000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := ledger.New(ledger.Settings{Life: time.Hour, Bytes: 1 << 40})
		for i := range records {
			key := fmt.Sprint("permit-", i)
			step(l, 0, proto.OnceBegin, "account1", key, "attempt-"+key, "entry1/1")
			step(l, 0, proto.OnceFinish, "account1", key, "attempt-"+key, "entry1/1")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "heap-bytes/record")
		b.ReportMetric(float64(l.Bytes())/records, "counted-bytes/record")
		runtime.KeepAlive(l)
	}
}

// BenchmarkSnapshot encodes 100,000 answered calls.
func BenchmarkSnapshot(b *testing.B) {
	l := ledger.New(ledger.Settings{Life: time.Hour, Bytes: 1 << 40})
	for i := range 100000 {
		key := fmt.Sprint("permit-", i)
		step(l, 0, proto.OnceBegin, "account1", key, "attempt-"+key, "entry1/1")
		step(l, 0, proto.OnceFinish, "account1", key, "attempt-"+key, "entry1/1")
	}
	b.ResetTimer()
	for range b.N {
		image, err := l.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(image)))
	}
}
