package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// update changes a record and renews its expiry. It keeps the used bytes, the
// expiry list and the started calls of each holder consistent.
func (l *Ledger) update(r *record, change func()) {
	if r.element != nil {
		l.usedBytes -= r.bytes()
		l.byExpiry.Remove(r.element)
	}
	l.removeFromHolder(r)
	change()
	r.expires = l.now.Add(l.settings.TTL)
	r.encoded = nil
	l.insert(r)
}

// insert adds a record to all indexes. Its expiry must not be before that of any
// other record.
func (l *Ledger) insert(r *record) {
	l.records[r.key] = r
	r.element = l.byExpiry.PushBack(r)
	l.usedBytes += r.bytes()
	if r.stage != StageStarted {
		return
	}
	calls := l.started[r.holder]
	if calls == nil {
		calls = make(map[key]*record)
		l.started[r.holder] = calls
	}
	calls[r.key] = r
}

// removeFromHolder removes a record from the started calls of its holder.
func (l *Ledger) removeFromHolder(r *record) {
	calls := l.started[r.holder]
	delete(calls, r.key)
	if len(calls) == 0 {
		delete(l.started, r.holder)
	}
}

// advance sets the time, which never runs backwards, and deletes expired records.
func (l *Ledger) advance(now time.Time) {
	if now.After(l.now) {
		l.now = now
	}
	for e := l.byExpiry.Front(); e != nil; e = l.byExpiry.Front() {
		r := e.Value.(*record)
		if r.expires.After(l.now) {
			break
		}
		l.byExpiry.Remove(e)
		l.removeFromHolder(r)
		delete(l.records, r.key)
		l.usedBytes -= r.bytes()
	}
	if l.usedBytes < 0 || len(l.records) != l.byExpiry.Len() {
		panic(fmt.Sprintf("ledger: %d bytes in %d records, %d in order", l.usedBytes, len(l.records), l.byExpiry.Len()))
	}
}

// sorted returns the records by key, so that all replicas change them in the same
// order.
func sorted(records map[key]*record) []*record {
	all := make([]*record, 0, len(records))
	for _, r := range records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.key.account, b.key.account), cmp.Compare(a.key.service, b.key.service), cmp.Compare(a.key.name, b.key.name))
	})
	return all
}

// snapshotRecord is the encoding of a record.
type snapshotRecord struct {
	Account         string   `cbor:"1,keyasint"`
	Service         string   `cbor:"2,keyasint"`
	Name            string   `cbor:"3,keyasint"`
	Fingerprint     string   `cbor:"4,keyasint,omitempty"`
	Stage           Stage    `cbor:"5,keyasint"`
	Attempt         string   `cbor:"6,keyasint,omitempty"`
	Holder          string   `cbor:"7,keyasint,omitempty"`
	Closed          []string `cbor:"8,keyasint,omitempty"`
	Status          int      `cbor:"9,keyasint,omitempty"`
	ContentType     string   `cbor:"10,keyasint,omitempty"`
	Body            []byte   `cbor:"11,keyasint,omitempty"`
	Expires         int64    `cbor:"12,keyasint"`
	ReportedUnknown bool     `cbor:"13,keyasint,omitempty"`
}

// snapshot is the encoding of a ledger.
type snapshot struct {
	Settings Settings `cbor:"1,keyasint"`
	Now      int64    `cbor:"2,keyasint"` // Unix time in nanoseconds, 0 if not set
	Records  []byte   `cbor:"3,keyasint"` // concatenated snapshotRecords, earliest expiry first
}

// encode encodes a record unless its encoding is still valid. Unchanged records
// are only copied, so that a snapshot of a large ledger takes little time.
func (r *record) encode() error {
	if r.encoded != nil {
		return nil
	}
	b, err := cbor.Marshal(snapshotRecord{
		Account: r.key.account, Service: r.key.service, Name: r.key.name, Fingerprint: r.fingerprint,
		Stage: r.stage, Attempt: r.attempt, Holder: r.holder, Closed: r.closed,
		Status: r.status, ContentType: r.contentType, Body: r.body, Expires: r.expires.UnixNano(), ReportedUnknown: r.reportedUnknown,
	})
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	r.encoded = b
	return nil
}

// Snapshot encodes the ledger. Equal ledgers have equal snapshots.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := snapshot{Settings: l.settings}
	if !l.now.IsZero() {
		s.Now = l.now.UnixNano()
	}
	size := 0
	for e := l.byExpiry.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if err := r.encode(); err != nil {
			return nil, err
		}
		size += len(r.encoded)
	}
	s.Records = make([]byte, 0, size)
	for e := l.byExpiry.Front(); e != nil; e = e.Next() {
		s.Records = append(s.Records, e.Value.(*record).encoded...)
	}
	b, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode ledger: %w", err)
	}
	return b, nil
}

// Restore replaces the content and the settings of the ledger by a snapshot.
func (l *Ledger) Restore(b []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("decode ledger: %w", err)
	}
	*l = *New(s.Settings)
	if s.Now != 0 {
		l.now = time.Unix(0, s.Now).UTC()
	}
	for remaining := s.Records; len(remaining) > 0; {
		var e snapshotRecord
		var err error
		if remaining, err = cbor.UnmarshalFirst(remaining, &e); err != nil {
			return fmt.Errorf("decode record: %w", err)
		}
		l.insert(&record{
			key: key{e.Account, e.Service, e.Name}, fingerprint: e.Fingerprint, stage: e.Stage, attempt: e.Attempt,
			holder: e.Holder, closed: e.Closed, status: e.Status, contentType: e.ContentType, body: e.Body, expires: time.Unix(0, e.Expires).UTC(), reportedUnknown: e.ReportedUnknown,
		})
	}
	return nil
}
