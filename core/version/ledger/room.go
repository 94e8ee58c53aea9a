package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// edit changes a record and keeps the accounts: bytes in use, the order of
// expiry and the calls of each holder.
func (l *Ledger) edit(r *record, change func()) {
	if r.place != nil {
		l.used -= r.bytes()
		l.order.Remove(r.place)
	}
	l.release(r)
	change()
	r.until = l.now.Add(l.settings.Life)
	r.encoded = nil
	l.insert(r)
}

func (l *Ledger) insert(r *record) {
	l.records[r.key] = r
	r.place = l.order.PushBack(r)
	l.used += r.bytes()
	if r.stage != StageStarted {
		return
	}
	held := l.holders[r.holder]
	if held == nil {
		held = make(map[key]*record)
		l.holders[r.holder] = held
	}
	held[r.key] = r
}

func (l *Ledger) release(r *record) {
	held := l.holders[r.holder]
	delete(held, r.key)
	if len(held) == 0 {
		delete(l.holders, r.holder)
	}
}

// advance moves the time on and forgets the records whose life has ended.
func (l *Ledger) advance(now time.Time) {
	if now.After(l.now) {
		l.now = now
	}
	for e := l.order.Front(); e != nil; e = l.order.Front() {
		r := e.Value.(*record)
		if r.until.After(l.now) {
			break
		}
		l.order.Remove(e)
		l.release(r)
		delete(l.records, r.key)
		l.used -= r.bytes()
	}
	if l.used < 0 || len(l.records) != l.order.Len() {
		panic(fmt.Sprintf("ledger: %d bytes in %d records, %d in order", l.used, len(l.records), l.order.Len()))
	}
}

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

// entry is the encoding of a record.
type entry struct {
	Account     string   `cbor:"1,keyasint"`
	Service     string   `cbor:"2,keyasint"`
	Name        string   `cbor:"3,keyasint"`
	Fingerprint string   `cbor:"4,keyasint,omitempty"`
	Stage       Stage    `cbor:"5,keyasint"`
	Attempt     string   `cbor:"6,keyasint,omitempty"`
	Holder      string   `cbor:"7,keyasint,omitempty"`
	Closed      []string `cbor:"8,keyasint,omitempty"`
	Status      int      `cbor:"9,keyasint,omitempty"`
	Kind        string   `cbor:"10,keyasint,omitempty"`
	Body        []byte   `cbor:"11,keyasint,omitempty"`
	Until       int64    `cbor:"12,keyasint"`
	Unsure      bool     `cbor:"13,keyasint,omitempty"`
}

type image struct {
	Settings Settings `cbor:"1,keyasint"`
	Now      int64    `cbor:"2,keyasint"`
	Entries  []byte   `cbor:"3,keyasint"` // each an entry, first to expire first
}

// encode encodes a record that changed since the last snapshot: those that
// didn't are copied, so that a snapshot of a large ledger takes little time.
func (r *record) encode() error {
	if r.encoded != nil {
		return nil
	}
	b, err := cbor.Marshal(entry{
		Account: r.key.account, Service: r.key.service, Name: r.key.name, Fingerprint: r.fingerprint,
		Stage: r.stage, Attempt: r.attempt, Holder: r.holder, Closed: r.closed,
		Status: r.status, Kind: r.kind, Body: r.body, Until: r.until.UnixNano(), Unsure: r.unsure,
	})
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	r.encoded = b
	return nil
}

// Snapshot encodes the ledger. Equal ledgers have equal snapshots.
func (l *Ledger) Snapshot() ([]byte, error) {
	i := image{Settings: l.settings}
	if !l.now.IsZero() {
		i.Now = l.now.UnixNano()
	}
	size := 0
	for e := l.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if err := r.encode(); err != nil {
			return nil, err
		}
		size += len(r.encoded)
	}
	i.Entries = make([]byte, 0, size)
	for e := l.order.Front(); e != nil; e = e.Next() {
		i.Entries = append(i.Entries, e.Value.(*record).encoded...)
	}
	b, err := cbor.Marshal(i)
	if err != nil {
		return nil, fmt.Errorf("encode ledger: %w", err)
	}
	return b, nil
}

// Restore replaces the whole ledger, its settings included.
func (l *Ledger) Restore(b []byte) error {
	var i image
	if err := cbor.Unmarshal(b, &i); err != nil {
		return fmt.Errorf("decode ledger: %w", err)
	}
	*l = *New(i.Settings)
	if i.Now != 0 {
		l.now = time.Unix(0, i.Now).UTC()
	}
	for rest := i.Entries; len(rest) > 0; {
		var e entry
		var err error
		if rest, err = cbor.UnmarshalFirst(rest, &e); err != nil {
			return fmt.Errorf("decode record: %w", err)
		}
		l.insert(&record{
			key: key{e.Account, e.Service, e.Name}, fingerprint: e.Fingerprint, stage: e.Stage, attempt: e.Attempt,
			holder: e.Holder, closed: e.Closed, status: e.Status, kind: e.Kind, body: e.Body, until: time.Unix(0, e.Until).UTC(), unsure: e.Unsure,
		})
	}
	return nil
}
