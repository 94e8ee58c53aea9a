// Package ledger records calls that must run at most once. It is a
// deterministic state machine that is replicated: a call may leave its entry
// instance only after its start was recorded here.
package ledger

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
)

// Stage is how far the call under a key has come.
type Stage uint8

// Stages. A record with closed attempts only is idle: nothing has started.
const (
	StageIdle Stage = iota
	StageStarted
	StageUnknown
	StageDone
)

// Sizes that count against the room.
const (
	recordBytes  = 500 // of a record without its texts
	attemptBytes = 64  // of a closed attempt without its name
	// Answers of calls that have started, and promises never to start one,
	// may use this share of the room beyond it: refusing them would lose what
	// is already true.
	overdraft = 4
	// maxClosed bounds the closed attempts of a key.
	maxClosed = 64
)

// busyRetry is when to ask again for a call that a live holder is running.
const busyRetry = 500 * time.Millisecond

// Settings bound the ledger. All replicas must agree on them.
type Settings struct {
	Life  time.Duration `cbor:"1,keyasint"` // of a record since its last step
	Bytes int           `cbor:"2,keyasint"` // room for records
}

type key struct {
	account string
	service string
	name    string
}

// record is what the ledger holds of one key.
type record struct {
	key         key
	fingerprint string
	stage       Stage
	attempt     string // that was allowed to start
	holder      string // that may send it
	unsure      bool   // the holder itself can't tell whether it ran
	closed      []string
	status      int
	kind        string
	body        []byte
	until       time.Time
	place       *list.Element
	encoded     []byte // as in snapshots, nil after a change
}

func (r *record) bytes() int {
	n := recordBytes + len(r.key.account) + len(r.key.service) + len(r.key.name) + len(r.fingerprint) +
		len(r.attempt) + len(r.holder) + len(r.kind) + len(r.body)
	for _, a := range r.closed {
		n += attemptBytes + len(a)
	}
	return n
}

// Ledger holds the records. It isn't safe for concurrent use.
type Ledger struct {
	settings Settings
	records  map[key]*record
	order    *list.List // of *record, first to expire first
	holders  map[string]map[key]*record
	used     int
	now      time.Time
}

// New returns an empty ledger.
func New(s Settings) *Ledger {
	return &Ledger{settings: s, records: make(map[key]*record), order: list.New(), holders: make(map[string]map[key]*record)}
}

// Bytes returns the room in use.
func (l *Ledger) Bytes() int {
	return l.used
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	return len(l.records)
}

// Holders returns the holders of calls that have started and not ended.
func (l *Ledger) Holders() []string {
	names := make([]string, 0, len(l.holders))
	for h := range l.holders {
		names = append(names, h)
	}
	slices.Sort(names)
	return names
}

// Step executes one step of a call.
func (l *Ledger) Step(now time.Time, q proto.OnceRequest) proto.OnceReply {
	l.advance(now)
	k := key{q.Account, q.Service, q.Key}
	switch q.Step {
	case proto.OnceBegin:
		return l.begin(k, q)
	case proto.OnceFinish:
		return l.finish(k, q)
	case proto.OnceClose:
		return l.close(k, q)
	case proto.OnceLookup:
		return l.Lookup(q)
	}
	return proto.OnceReply{Verdict: proto.VerdictNone}
}

// Lookup reads a record. It changes nothing and needs no log entry.
func (l *Ledger) Lookup(q proto.OnceRequest) proto.OnceReply {
	r, found := l.records[key{q.Account, q.Service, q.Key}]
	switch {
	case !found:
		return proto.OnceReply{Verdict: proto.VerdictNone}
	case r.stage == StageIdle && slices.Contains(r.closed, q.Attempt):
		return proto.OnceReply{Verdict: proto.VerdictClosed}
	case r.stage == StageIdle:
		return proto.OnceReply{Verdict: proto.VerdictNone}
	case q.Fingerprint != "" && q.Fingerprint != r.fingerprint:
		return proto.OnceReply{Verdict: proto.VerdictConflict}
	}
	return r.outcome()
}

// outcome tells a caller other than the holder what became of the call.
func (r *record) outcome() proto.OnceReply {
	switch r.stage {
	case StageStarted:
		return proto.OnceReply{Verdict: proto.VerdictBusy, Retry: busyRetry}
	case StageUnknown:
		return proto.OnceReply{Verdict: proto.VerdictUnknown}
	case StageDone:
		return r.answer(proto.VerdictReplay)
	}
	panic(fmt.Sprintf("ledger: no outcome of a record at stage %d", r.stage))
}

func (r *record) answer(v proto.Verdict) proto.OnceReply {
	return proto.OnceReply{Verdict: v, Status: r.status, Type: r.kind, Body: r.body}
}

// begin asks to start a call. At most one attempt of a key is ever told to
// start while the record lives; only its own holder hears it twice.
func (l *Ledger) begin(k key, q proto.OnceRequest) proto.OnceReply {
	r, found := l.records[k]
	if !found {
		return l.start(&record{key: k}, q)
	}
	switch {
	case slices.Contains(r.closed, q.Attempt):
		return proto.OnceReply{Verdict: proto.VerdictClosed}
	case r.stage == StageIdle:
		return l.start(r, q)
	case r.fingerprint != q.Fingerprint:
		return proto.OnceReply{Verdict: proto.VerdictConflict}
	case r.stage == StageStarted && r.attempt == q.Attempt && r.holder == q.Holder:
		return proto.OnceReply{Verdict: proto.VerdictStart}
	}
	return r.outcome()
}

func (l *Ledger) start(r *record, q proto.OnceRequest) proto.OnceReply {
	if r.stage != StageIdle {
		panic(fmt.Sprintf("ledger: a call at stage %d starts again", r.stage))
	}
	need := len(q.Fingerprint) + len(q.Attempt) + len(q.Holder)
	if r.place == nil {
		need += r.bytes()
	}
	if l.used+need > l.settings.Bytes {
		return proto.OnceReply{Verdict: proto.VerdictFull, Retry: l.relief()}
	}
	l.edit(r, func() {
		r.stage, r.fingerprint, r.attempt, r.holder = StageStarted, q.Fingerprint, q.Attempt, q.Holder
	})
	return proto.OnceReply{Verdict: proto.VerdictStart}
}

// finish records the answer, or that the holder can't tell whether the call
// ran. An answer is also taken from a holder that was thought lost: it is
// true, and no other attempt was told to start in the meantime.
func (l *Ledger) finish(k key, q proto.OnceRequest) proto.OnceReply {
	r, found := l.records[k]
	switch {
	case !found || r.stage == StageIdle:
		return proto.OnceReply{Verdict: proto.VerdictNone}
	case r.fingerprint != q.Fingerprint || r.attempt != q.Attempt || r.holder != q.Holder:
		return proto.OnceReply{Verdict: proto.VerdictConflict}
	case r.stage == StageDone:
		return proto.OnceReply{Verdict: proto.VerdictDone}
	case q.Unknown || l.used+len(q.Body) > l.limit():
		// Without room for the answer the call can't be replayed whole.
		l.edit(r, func() { r.stage, r.unsure = StageUnknown, true })
		return proto.OnceReply{Verdict: proto.VerdictUnknown}
	}
	l.edit(r, func() {
		r.stage, r.status, r.kind, r.body = StageDone, q.Status, q.Type, slices.Clone(q.Body)
	})
	return proto.OnceReply{Verdict: proto.VerdictDone}
}

// close promises that an attempt never starts. An attempt that was told to
// start is closed by its own holder only, which thereby tells that it sent
// nothing: no other instance could have.
func (l *Ledger) close(k key, q proto.OnceRequest) proto.OnceReply {
	r, found := l.records[k]
	if !found {
		r = &record{key: k}
	}
	own := r.attempt == q.Attempt && (r.stage == StageStarted || r.stage == StageUnknown && !r.unsure)
	switch {
	case slices.Contains(r.closed, q.Attempt):
		return proto.OnceReply{Verdict: proto.VerdictClosed}
	case own && r.holder == q.Holder:
		l.edit(r, func() {
			r.stage, r.attempt, r.holder = StageIdle, "", ""
			r.closed = append(r.closed, q.Attempt)
		})
		return proto.OnceReply{Verdict: proto.VerdictClosed}
	case r.stage != StageIdle && r.attempt == q.Attempt:
		return r.started()
	case len(r.closed) >= maxClosed || l.used+r.bytes()+attemptBytes+len(q.Attempt) > l.limit():
		return proto.OnceReply{Verdict: proto.VerdictFull, Retry: l.relief()}
	}
	l.edit(r, func() { r.closed = append(r.closed, q.Attempt) })
	return proto.OnceReply{Verdict: proto.VerdictClosed}
}

// started answers a close that comes too late.
func (r *record) started() proto.OnceReply {
	if r.stage == StageStarted {
		return proto.OnceReply{Verdict: proto.VerdictStart}
	}
	return r.outcome()
}

// Lost turns the started calls of a holder that vanished into unknown ones
// and returns their number.
func (l *Ledger) Lost(now time.Time, holder string) int {
	l.advance(now)
	n := 0
	for _, r := range sorted(l.holders[holder]) {
		l.edit(r, func() { r.stage, r.unsure = StageUnknown, false })
		n++
	}
	return n
}

func (l *Ledger) limit() int {
	return l.settings.Bytes + l.settings.Bytes/overdraft
}

// relief is when the next record expires.
func (l *Ledger) relief() time.Duration {
	front := l.order.Front()
	if front == nil {
		return busyRetry
	}
	return max(busyRetry, front.Value.(*record).until.Sub(l.now))
}
