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
	"verbenahaven.example/core/version/usage"
)

// Store is the replicated state machine. It implements node.StateMachine and is
// safe for concurrent use.
type Store struct {
	mutex        sync.RWMutex
	state        *state.State
	ledger       *ledger.Ledger
	usage        *usage.Record
	bootstrapped bool
	changed      chan struct{} // closed and replaced when the version changes

	deltas       map[uint64]state.View // deltas up to the current version, by start version
	packedDeltas map[uint64][]byte     // the same deltas, encoded and compressed
}

var _ node.StateMachine = (*Store)(nil)

// New returns an empty store. Its ledger has no capacity before the first Bootstrap
// command.
func New() *Store {
	return &Store{
		state:        state.New(),
		ledger:       ledger.New(ledger.Settings{}),
		usage:        usage.NewRecord(),
		changed:      make(chan struct{}),
		deltas:       make(map[uint64]state.View),
		packedDeltas: make(map[uint64][]byte),
	}
}

// Apply implements node.StateMachine. It returns the result of the command, or an
// error if the command can't be executed.
func (s *Store) Apply(index uint64, command []byte) any {
	var c Command
	decodeErr := codec.Unmarshal(command, &c)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.state.Version()
	s.state.BeginCommand(index, time.Unix(0, c.ProposedNanos).UTC())
	var result any
	if decodeErr != nil {
		result = fmt.Errorf("decode command %d: %w", index, decodeErr)
	} else {
		result = s.execute(c)
	}
	if s.state.Version() != before {
		s.versionChanged()
	}
	return result
}

// versionChanged wakes the waiting readers and drops the cached deltas, which
// end at the previous version.
func (s *Store) versionChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
	clear(s.deltas)
	clear(s.packedDeltas)
}

func (s *Store) execute(c Command) any {
	switch {
	case c.RunOnce != nil:
		return s.ledger.Apply(s.state.Now(), *c.RunOnce)
	case c.HolderLost != nil:
		return s.ledger.MarkLost(s.state.Now(), c.HolderLost.Name)
	case c.Update != nil:
		return s.state.Update(*c.Update, c.Term)
	case c.Join != nil:
		return valueOrError(s.state.Join(*c.Join))
	case c.MarkLost != nil:
		s.state.MarkLost(c.MarkLost.Name)
	case c.ChangeStrike != nil:
		return s.updateStrike(*c.ChangeStrike)
	case c.Screen != nil:
		return s.state.Screen(*c.Screen)
	case c.Bootstrap != nil:
		s.bootstrap(*c.Bootstrap)
	case c.RecordDecision != nil:
		return s.state.RecordDecision(*c.RecordDecision)
	case c.SyncFleet != nil:
		s.state.SyncFleet(*c.SyncFleet)
	case c.PublishRouting != nil:
		return s.state.PublishRouting(*c.PublishRouting)
	case c.RaiseLevel != nil:
		return s.state.RaiseLevel(c.RaiseLevel.Level)
	default:
		return s.executeOrder(c)
	}
	return nil
}

func (s *Store) executeOrder(c Command) any {
	switch {
	case c.OpenOrder != nil:
		return s.openOrder(*c.OpenOrder, c.Term)
	case c.AdoptOrder != nil:
		return valueOrError(s.state.AdoptOrder(c.AdoptOrder.Number, c.Term))
	case c.CloseOrder != nil:
		return errorOrNil(s.state.CloseOrder(c.CloseOrder.Number, c.CloseOrder.Status, c.CloseOrder.Reason))
	case c.TakeDuty != nil:
		return valueOrError(s.state.TakeDuty(c.Term, c.TakeDuty.Holder))
	case c.AdvanceRemoval != nil:
		return errorOrNil(s.state.AdvanceRemoval(c.AdvanceRemoval.Noun, c.AdvanceRemoval.Name))
	}
	return s.executeUsage(c)
}

func (s *Store) executeUsage(c Command) any {
	switch {
	case c.RecordUsage != nil:
		s.usage.Add(*c.RecordUsage)
	case c.CloseUsage != nil:
		return s.usage.Close(*c.CloseUsage)
	case c.UsageReported != nil:
		s.usage.Accept(*c.UsageReported)
	}
	return nil
}

// valueOrError returns err if it is set, else v.
func valueOrError[T any](v T, err error) any {
	if err != nil {
		return err
	}
	return v
}

// errorOrNil returns err as the result of a command that has no other result.
func errorOrNil(err error) any {
	if err != nil {
		return err
	}
	return nil
}

func (s *Store) updateStrike(h StrikeChange) any {
	if h.Clear {
		s.state.ClearStrikes(h.Fingerprint)
		return state.Strike{}
	}
	return s.state.AddStrike(h.Fingerprint, h.Engine)
}

// openOrder opens an order for the planner and records the decision, also if
// the order is refused.
func (s *Store) openOrder(r OrderRequest, term uint64) any {
	e, found := s.state.Engine(r.Engine)
	if !found {
		return fmt.Errorf("engine %s: unknown", r.Engine)
	}
	o, err := s.state.OpenOrder(state.Order{
		Engine: r.Engine, Term: term, Role: r.Role,
		Model: e.Model, Adapter: e.Adapter, Revision: e.Revision, Reason: "planner",
	})
	if err != nil {
		r.Decision.Chosen = "refused: " + err.Error()
	}
	s.state.RecordDecision(r.Decision)
	return valueOrError(o, err)
}

// bootstrap applies the settings of the first leader. Later Bootstrap commands
// change nothing, so that all replicas hold the same records.
func (s *Store) bootstrap(b Bootstrap) {
	s.state.EnsureOperator(b.OperatorAccount, b.TokenDigest)
	if s.bootstrapped {
		return
	}
	s.bootstrapped = true
	s.ledger = ledger.New(b.Ledger)
}

// encodedStore is the content of a snapshot.
type encodedStore struct {
	State        []byte `cbor:"1,keyasint"`
	Ledger       []byte `cbor:"2,keyasint"`
	Bootstrapped bool   `cbor:"3,keyasint"`
	Usage        []byte `cbor:"4,keyasint,omitempty"` // empty without reports, as in older builds
}

// Snapshot implements node.StateMachine.
func (s *Store) Snapshot() ([]byte, error) {
	s.mutex.Lock() // not RLock: Ledger.Snapshot caches encoded records
	defer s.mutex.Unlock()
	stateBytes, err := s.state.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot state: %w", err)
	}
	ledgerBytes, err := s.ledger.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot ledger: %w", err)
	}
	usageBytes, err := s.usage.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot usage: %w", err)
	}
	encoded, err := codec.Marshal(encodedStore{State: stateBytes, Ledger: ledgerBytes, Bootstrapped: s.bootstrapped, Usage: usageBytes})
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return encoded, nil
}

// Restore implements node.StateMachine.
func (s *Store) Restore(snapshot []byte) error {
	var e encodedStore
	if err := codec.Unmarshal(snapshot, &e); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	newState, newLedger, newUsage := state.New(), ledger.New(ledger.Settings{}), usage.NewRecord()
	if err := newState.Restore(e.State); err != nil {
		return fmt.Errorf("restore state: %w", err)
	}
	if err := newLedger.Restore(e.Ledger); err != nil {
		return fmt.Errorf("restore ledger: %w", err)
	}
	if err := newUsage.Restore(e.Usage); err != nil {
		return fmt.Errorf("restore usage: %w", err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if newState.Version() < s.state.Version() {
		panic(fmt.Sprintf("store: snapshot is older than the state: version %d would go back to %d", s.state.Version(), newState.Version()))
	}
	s.state, s.ledger, s.usage, s.bootstrapped = newState, newLedger, newUsage, e.Bootstrapped
	s.versionChanged()
	return nil
}

// Read calls f with the state and the ledger under the read lock. f must neither
// change nor retain them.
func (s *Store) Read(f func(*state.State, *ledger.Ledger)) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	f(s.state, s.ledger)
}

// ReadUsage calls f with the state and the record of usage under the read lock. f must
// neither change nor retain them.
func (s *Store) ReadUsage(f func(*state.State, *usage.Record)) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	f(s.state, s.usage)
}

// Lookup returns what the ledger records of a run-once call.
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

// View returns what changed after a version. Callers must not change its slices:
// they are shared with other callers.
func (s *Store) View(since uint64) state.View {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if v, found := s.deltas[since]; found {
		return v
	}
	v := s.state.View(since)
	if len(s.deltas) < maxCachedDeltas {
		s.deltas[since] = v
	}
	return v
}

// maxCachedDeltas limits the number of start versions with a cached delta.
const maxCachedDeltas = 64

// PackedView returns what changed after a version, encoded and compressed. The
// result is cached for all instances that are at the same version.
func (s *Store) PackedView(since uint64) ([]byte, error) {
	v := s.View(since)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if b, found := s.packedDeltas[since]; found && v.Version == s.state.Version() {
		return b, nil
	}
	b, err := codec.Pack(v)
	if err != nil {
		return nil, fmt.Errorf("pack view: %w", err)
	}
	if len(s.packedDeltas) < maxCachedDeltas && v.Version == s.state.Version() {
		s.packedDeltas[since] = b
	}
	return b, nil
}

// WaitForChange blocks until the state is newer than a version and returns what
// changed after it. If ctx ends first it returns an empty delta.
func (s *Store) WaitForChange(ctx context.Context, since uint64) state.View {
	for {
		s.mutex.RLock()
		version, changed := s.state.Version(), s.changed
		s.mutex.RUnlock()
		if version > since {
			return s.View(since)
		}
		select {
		case <-ctx.Done():
			return state.View{Version: version, Since: since}
		case <-changed:
		}
	}
}
