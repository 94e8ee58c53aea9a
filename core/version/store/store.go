package store

import (
	"context"
	"fmt"
	"sync"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/codec"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
)

// Store implements node.Machine. Reads may come from any goroutine.
type Store struct {
	mutex   sync.RWMutex
	state   *state.State
	ledger  *ledger.Ledger
	booted  bool
	changed chan struct{} // closed when the version changes

	views map[uint64]state.View // deltas of the current version, by start
	news  map[uint64][]byte     // the same, packed
}

var _ node.Machine = (*Store)(nil)

// New returns an empty store. Until the first Boot command the ledger has no
// room.
func New() *Store {
	return &Store{
		state:   state.New(),
		ledger:  ledger.New(ledger.Settings{}),
		changed: make(chan struct{}),
		views:   make(map[uint64]state.View),
		news:    make(map[uint64][]byte),
	}
}

// Apply implements node.Machine. The result is an error for a command that
// can't be executed.
func (s *Store) Apply(index uint64, command []byte) any {
	var c Command
	decoded := codec.Unmarshal(command, &c)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.state.Version()
	s.state.Advance(index, time.Unix(0, c.At).UTC())
	var result any
	if decoded != nil {
		result = fmt.Errorf("decode command %d: %w", index, decoded)
	} else {
		result = s.execute(c)
	}
	if s.state.Version() != before {
		s.wake()
	}
	return result
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
	clear(s.views)
	clear(s.news)
}

func (s *Store) execute(c Command) any {
	switch {
	case c.Once != nil:
		return s.ledger.Step(s.state.Now(), *c.Once)
	case c.Vanish != nil:
		return s.ledger.Lost(s.state.Now(), c.Vanish.Name)
	case c.Update != nil:
		return s.state.Update(*c.Update, c.Term)
	case c.Join != nil:
		return either(s.state.Join(*c.Join))
	case c.Lose != nil:
		s.state.Lose(c.Lose.Name)
	case c.Hit != nil:
		return s.hit(*c.Hit)
	case c.Boot != nil:
		s.boot(*c.Boot)
	case c.Decide != nil:
		return s.state.Decide(*c.Decide)
	case c.Fleet != nil:
		s.state.Sync(*c.Fleet)
	case c.Post != nil:
		return s.state.Publish(*c.Post)
	default:
		return s.order(c)
	}
	return nil
}

func (s *Store) order(c Command) any {
	switch {
	case c.Intend != nil:
		return s.intend(*c.Intend, c.Term)
	case c.Adopt != nil:
		return either(s.state.Adopt(c.Adopt.Number, c.Term))
	case c.Finish != nil:
		return problem(s.state.Finish(c.Finish.Number, c.Finish.Status, c.Finish.Reason))
	case c.Free != nil:
		return problem(s.state.Release(c.Free.Noun, c.Free.Name))
	}
	return nil
}

// either folds a value and an error into one result.
func either[T any](v T, err error) any {
	if err != nil {
		return err
	}
	return v
}

func problem(err error) any {
	if err != nil {
		return err
	}
	return nil
}

func (s *Store) hit(h Hit) any {
	if h.Clear {
		s.state.Clear(h.Fingerprint)
		return state.Strike{}
	}
	return s.state.Hit(h.Fingerprint, h.Engine)
}

// intend opens the planner's order and records its decision.
func (s *Store) intend(i Intent, term uint64) any {
	e, found := s.state.Engine(i.Engine)
	if !found {
		return fmt.Errorf("engine %s: unknown", i.Engine)
	}
	o, err := s.state.Intend(state.Order{
		Engine: i.Engine, Term: term, Role: i.Role,
		Model: e.Model, Adapter: e.Adapter, Revision: e.Revision, Reason: "planner",
	})
	if err != nil {
		i.Decision.Chose = "refused: " + err.Error()
	}
	s.state.Decide(i.Decision)
	return either(o, err)
}

// boot takes the settings of the first leader; later ones change nothing, so
// that all replicas hold the same records.
func (s *Store) boot(b Boot) {
	s.state.Boot(b.Account, b.Digest)
	if s.booted {
		return
	}
	s.booted = true
	s.ledger = ledger.New(b.Ledger)
}

// image is the encoding of the whole store.
type image struct {
	State  []byte `cbor:"1,keyasint"`
	Ledger []byte `cbor:"2,keyasint"`
	Booted bool   `cbor:"3,keyasint"`
}

// Snapshot implements node.Machine.
func (s *Store) Snapshot() ([]byte, error) {
	s.mutex.Lock() // the ledger keeps encoded records
	defer s.mutex.Unlock()
	a, err := s.state.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot state: %w", err)
	}
	b, err := s.ledger.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot ledger: %w", err)
	}
	all, err := codec.Marshal(image{State: a, Ledger: b, Booted: s.booted})
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return all, nil
}

// Restore implements node.Machine.
func (s *Store) Restore(snapshot []byte) error {
	var i image
	if err := codec.Unmarshal(snapshot, &i); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	fresh, records := state.New(), ledger.New(ledger.Settings{})
	if err := fresh.Restore(i.State); err != nil {
		return fmt.Errorf("restore state: %w", err)
	}
	if err := records.Restore(i.Ledger); err != nil {
		return fmt.Errorf("restore ledger: %w", err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if fresh.Version() < s.state.Version() {
		panic(fmt.Sprintf("store: a snapshot takes version %d back to %d", s.state.Version(), fresh.Version()))
	}
	s.state, s.ledger, s.booted = fresh, records, i.Booted
	s.wake()
	return nil
}

// Read calls f with the state, which f must neither change nor keep.
func (s *Store) Read(f func(*state.State, *ledger.Ledger)) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	f(s.state, s.ledger)
}

// Lookup reads a record of the ledger.
func (s *Store) Lookup(q proto.OnceRequest) proto.OnceReply {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.ledger.Lookup(q)
}

// Version returns the version of the state.
func (s *Store) Version() uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.state.Version()
}

// View returns what changed after a version. The lists in it are shared.
func (s *Store) View(since uint64) state.View {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if v, found := s.views[since]; found {
		return v
	}
	v := s.state.View(since)
	if len(s.views) < maxViews {
		s.views[since] = v
	}
	return v
}

const maxViews = 64

// News returns what changed after a version, packed. All instances that ask
// from one version share the work.
func (s *Store) News(since uint64) ([]byte, error) {
	v := s.View(since)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if b, found := s.news[since]; found && v.Version == s.state.Version() {
		return b, nil
	}
	b, err := codec.Pack(v)
	if err != nil {
		return nil, fmt.Errorf("pack view: %w", err)
	}
	if len(s.news) < maxViews && v.Version == s.state.Version() {
		s.news[since] = b
	}
	return b, nil
}

// Wait returns the state after a version once there is any. It returns an
// empty delta when ctx ends before.
func (s *Store) Wait(ctx context.Context, have uint64) state.View {
	for {
		s.mutex.RLock()
		version, changed := s.state.Version(), s.changed
		s.mutex.RUnlock()
		if version > have {
			return s.View(have)
		}
		select {
		case <-ctx.Done():
			return state.View{Version: version, Since: have}
		case <-changed:
		}
	}
}
