// Package ledger is the replicated store of idempotency keys, for calls that must
// run at most once. It is a deterministic state machine: an entry instance may send
// a call only after the start of the call was recorded here.
package ledger

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
)

// Stage is the progress of the call under a key.
type Stage uint8

// Stages of a call.
const (
	StageIdle    Stage = iota // no attempt has started; the record holds closed attempts only
	StageStarted              // an attempt may have been sent
	StageUnknown              // an attempt was started; whether it ran is unknown
	StageDone                 // the answer is recorded
)

// Sizes that count against the limit in the settings.
const (
	recordOverhead  = 500 // of a record without its texts
	attemptOverhead = 64  // of a closed attempt without its name
	// Answers of started calls and closed attempts may exceed the limit by
	// 1/overdraftDivisor of it: refusing them would lose outcomes that are already
	// certain.
	overdraftDivisor = 4
	// maxClosedAttempts bounds the closed attempts of a key.
	maxClosedAttempts = 64
)

// busyRetryDelay is the delay before a caller asks again for a call that a live
// holder is running.
const busyRetryDelay = 500 * time.Millisecond

// Settings bounds the ledger. It must be the same on all replicas.
type Settings struct {
	TTL      time.Duration `cbor:"1,keyasint"` // of a record since its last change
	MaxBytes int           `cbor:"2,keyasint"` // of all records
}

// key identifies a call by client account, service and idempotency key.
type key struct {
	account string
	service string
	name    string
}

// record is the state of the call under one key.
type record struct {
	key             key
	fingerprint     string // of the request
	stage           Stage
	attempt         string   // the attempt that was allowed to start
	holder          string   // the process that may send the attempt
	reportedUnknown bool     // the holder itself reported that the outcome is unknown
	closed          []string // attempts that may never start
	status          int      // of the answer
	contentType     string   // of the answer
	body            []byte   // of the answer
	expires         time.Time
	element         *list.Element // in the expiry list
	encoded         []byte        // encoding in snapshots, nil after a change
}

// bytes returns the size that counts against the limit.
func (r *record) bytes() int {
	n := recordOverhead + len(r.key.account) + len(r.key.service) + len(r.key.name) + len(r.fingerprint) +
		len(r.attempt) + len(r.holder) + len(r.contentType) + len(r.body)
	for _, attempt := range r.closed {
		n += attemptOverhead + len(attempt)
	}
	return n
}

// Ledger holds the records. It isn't safe for concurrent use.
type Ledger struct {
	settings  Settings
	records   map[key]*record
	byExpiry  *list.List                 // of *record, earliest expiry first
	started   map[string]map[key]*record // started calls by holder
	usedBytes int                        // of all records
	now       time.Time
}

// New returns an empty ledger.
func New(s Settings) *Ledger {
	return &Ledger{settings: s, records: make(map[key]*record), byExpiry: list.New(), started: make(map[string]map[key]*record)}
}

// UsedBytes returns the size of all records, as it counts against the limit.
func (l *Ledger) UsedBytes() int {
	return l.usedBytes
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	return len(l.records)
}

// Holders returns the holders of calls that have started and not ended, sorted.
func (l *Ledger) Holders() []string {
	names := make([]string, 0, len(l.started))
	for holder := range l.started {
		names = append(names, holder)
	}
	slices.Sort(names)
	return names
}

// Apply applies one step of a call.
func (l *Ledger) Apply(now time.Time, q proto.OnceRequest) proto.OnceReply {
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
	return proto.OnceReply{Verdict: proto.VerdictNotFound}
}

// Lookup returns the verdict on a key without changing the ledger, so it needs no
// entry in the replicated log.
func (l *Ledger) Lookup(q proto.OnceRequest) proto.OnceReply {
	r, found := l.records[key{q.Account, q.Service, q.Key}]
	switch {
	case !found:
		return proto.OnceReply{Verdict: proto.VerdictNotFound}
	case r.stage == StageIdle && slices.Contains(r.closed, q.Attempt):
		return proto.OnceReply{Verdict: proto.VerdictClosed}
	case r.stage == StageIdle:
		return proto.OnceReply{Verdict: proto.VerdictNotFound}
	case q.Fingerprint != "" && q.Fingerprint != r.fingerprint:
		return proto.OnceReply{Verdict: proto.VerdictConflict}
	}
	return r.outcome()
}

// outcome returns the reply to anyone but the holder of a started call.
func (r *record) outcome() proto.OnceReply {
	switch r.stage {
	case StageStarted:
		return proto.OnceReply{Verdict: proto.VerdictBusy, RetryAfter: busyRetryDelay}
	case StageUnknown:
		return proto.OnceReply{Verdict: proto.VerdictOutcomeUnknown}
	case StageDone:
		return r.answer(proto.VerdictReplay)
	}
	panic(fmt.Sprintf("ledger: a record at stage %d has no outcome, want started, unknown or done", r.stage))
}

// answer returns a reply with the recorded answer.
func (r *record) answer(v proto.Verdict) proto.OnceReply {
	return proto.OnceReply{Verdict: v, Status: r.status, ContentType: r.contentType, Body: r.body}
}

// begin asks to start an attempt. While a record lives, only one attempt of its
// key may start, and only the holder of that attempt gets this reply again. Another
// attempt may start if the holder closes the first one unsent.
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
		return proto.OnceReply{Verdict: proto.VerdictProceed}
	}
	return r.outcome()
}

// start allows an attempt to start, or refuses it when the ledger is full.
func (l *Ledger) start(r *record, q proto.OnceRequest) proto.OnceReply {
	if r.stage != StageIdle {
		panic(fmt.Sprintf("ledger: a call at stage %d starts again", r.stage))
	}
	need := len(q.Fingerprint) + len(q.Attempt) + len(q.Holder)
	if r.element == nil {
		need += r.bytes()
	}
	if l.usedBytes+need > l.settings.MaxBytes {
		return proto.OnceReply{Verdict: proto.VerdictFull, RetryAfter: l.retryDelay()}
	}
	l.update(r, func() {
		r.stage, r.fingerprint, r.attempt, r.holder = StageStarted, q.Fingerprint, q.Attempt, q.Holder
	})
	return proto.OnceReply{Verdict: proto.VerdictProceed}
}

// finish records the answer, or that the holder doesn't know whether the call
// ran. An answer is also accepted from a holder that was marked as lost: it is
// valid, because no other attempt was allowed to start in the meantime.
func (l *Ledger) finish(k key, q proto.OnceRequest) proto.OnceReply {
	r, found := l.records[k]
	switch {
	case !found || r.stage == StageIdle:
		return proto.OnceReply{Verdict: proto.VerdictNotFound}
	case r.fingerprint != q.Fingerprint || r.attempt != q.Attempt || r.holder != q.Holder:
		return proto.OnceReply{Verdict: proto.VerdictConflict}
	case r.stage == StageDone:
		return proto.OnceReply{Verdict: proto.VerdictRecorded}
	case q.OutcomeUnknown || l.usedBytes+len(q.Body) > l.hardLimit():
		// An answer that doesn't fit can't be replayed in full.
		l.update(r, func() { r.stage, r.reportedUnknown = StageUnknown, true })
		return proto.OnceReply{Verdict: proto.VerdictOutcomeUnknown}
	}
	l.update(r, func() {
		r.stage, r.status, r.contentType, r.body = StageDone, q.Status, q.ContentType, slices.Clone(q.Body)
	})
	return proto.OnceReply{Verdict: proto.VerdictRecorded}
}

// close ensures that an attempt never starts. An attempt that was allowed to start
// can be closed only by its holder, which thereby declares that it sent nothing;
// no other instance could have sent it.
func (l *Ledger) close(k key, q proto.OnceRequest) proto.OnceReply {
	r, found := l.records[k]
	if !found {
		r = &record{key: k}
	}
	closable := r.attempt == q.Attempt && (r.stage == StageStarted || r.stage == StageUnknown && !r.reportedUnknown)
	switch {
	case slices.Contains(r.closed, q.Attempt):
		return proto.OnceReply{Verdict: proto.VerdictClosed}
	case closable && r.holder == q.Holder:
		l.update(r, func() {
			r.stage, r.attempt, r.holder = StageIdle, "", ""
			r.closed = append(r.closed, q.Attempt)
		})
		return proto.OnceReply{Verdict: proto.VerdictClosed}
	case r.stage != StageIdle && r.attempt == q.Attempt:
		return r.closeRefused()
	case len(r.closed) >= maxClosedAttempts || l.usedBytes+r.bytes()+attemptOverhead+len(q.Attempt) > l.hardLimit():
		return proto.OnceReply{Verdict: proto.VerdictFull, RetryAfter: l.retryDelay()}
	}
	l.update(r, func() { r.closed = append(r.closed, q.Attempt) })
	return proto.OnceReply{Verdict: proto.VerdictClosed}
}

// closeRefused returns the reply to a close of an attempt that may have been sent.
func (r *record) closeRefused() proto.OnceReply {
	if r.stage == StageStarted {
		return proto.OnceReply{Verdict: proto.VerdictProceed}
	}
	return r.outcome()
}

// MarkLost sets the started calls of a lost holder to unknown and returns their
// number.
func (l *Ledger) MarkLost(now time.Time, holder string) int {
	l.advance(now)
	n := 0
	for _, r := range sorted(l.started[holder]) {
		l.update(r, func() { r.stage, r.reportedUnknown = StageUnknown, false })
		n++
	}
	return n
}

// hardLimit returns the bytes that answers and closed attempts may fill.
func (l *Ledger) hardLimit() int {
	return l.settings.MaxBytes + l.settings.MaxBytes/overdraftDivisor
}

// retryDelay returns the time until the next record expires, at least
// busyRetryDelay.
func (l *Ledger) retryDelay() time.Duration {
	front := l.byExpiry.Front()
	if front == nil {
		return busyRetryDelay
	}
	return max(busyRetryDelay, front.Value.(*record).expires.Sub(l.now))
}
