package lead

import (
	"context"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

// Bounds of messages from entry instances.
const (
	maxAnswer = 1 << 20 // bytes of a recorded answer
	maxText   = 512     // bytes of a key or name
	maxWatch  = 30 * time.Second
)

func (l *Lead) bad(reason string) error {
	l.meter.Count("refused", "message", reason)
	return &link.Remote{Code: link.CodeBad, Detail: reason}
}

// Watch serves the state to an instance. Any member serves it.
func (l *Lead) Watch(ctx context.Context, _ string, q proto.WatchRequest) (proto.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, min(q.Wait, maxWatch))
	defer cancel()
	view := l.store.Wait(ctx, q.Have)
	status := l.log.Status()
	return proto.WatchReply{View: view, Leader: status.Leader, Age: status.Heard}, nil
}

// Beat takes the heartbeat of an entry instance.
func (l *Lead) Beat(ctx context.Context, peer string, q proto.BeatRequest) (proto.BeatReply, error) {
	if peer != q.Member.Name || q.Member.Kind != state.MemberEntry {
		return proto.BeatReply{}, l.bad("member")
	}
	if err := l.hold(func(now time.Duration, _ uint64) { l.roster.Beat(now, q) }); err != nil {
		return proto.BeatReply{}, err
	}
	known, err := l.join(ctx, q.Member)
	if err != nil {
		return proto.BeatReply{}, err
	}
	reply := proto.BeatReply{Version: l.store.Version(), Lease: time.Duration(l.settings.Member.Lease), Phase: known.Phase}
	if l.fleet != nil {
		l.inform(&reply, q)
	}
	if known.Phase != state.PhaseLeaving {
		return reply, nil // only those that leave wait for the others to know
	}
	reply.Settled, err = l.everywhere(known.Version)
	return reply, err
}

const (
	// beatEach is the time between two heartbeats of all instances, as one
	// leader can take them beside its other duties.
	beatEach = 700 * time.Microsecond
	// beatLeast is the shortest time between two heartbeats of an instance.
	beatLeast = 20 * time.Millisecond
)

// inform adds what the leader knows: of the state, the engines, the keepers.
func (l *Lead) inform(reply *proto.BeatReply, q proto.BeatRequest) {
	_ = l.hold(func(now time.Duration, _ uint64) {
		reply.Loads = l.roster.Others(now, q.Member.Name)
		reply.Reports, reply.Seen = l.roster.Reports(q.Seen)
		reply.Every = max(beatLeast, time.Duration(l.roster.Live(now))*beatEach)
	})
	if reply.Version > q.Version {
		news, err := l.store.News(q.Version)
		if err != nil {
			klog.ErrorS(err, "news not packed")
			return
		}
		reply.News = news
	}
	status := l.log.Status()
	reply.Keepers = slices.Concat(status.Voters, status.Learners)
}

// Post publishes a routing table.
func (l *Lead) Post(ctx context.Context, _ string, q proto.PostRequest) (proto.PostReply, error) {
	number, err := propose[uint64](ctx, l, store.Command{Post: &q.Routing})
	if err != nil {
		return proto.PostReply{}, err
	}
	klog.InfoS("routing table published", "number", q.Routing.Number, "force", number, "routes", len(q.Routing.Routes))
	return proto.PostReply{Number: number}, nil
}

// Table reads the newest routing table, confirmed by a majority.
func (l *Lead) Table(ctx context.Context, _ string, _ proto.TableRequest) (proto.TableReply, error) {
	if err := l.log.Barrier(ctx); err != nil {
		return proto.TableReply{}, l.failed(err)
	}
	var reply proto.TableReply
	l.read(func(s *state.State, _ *ledger.Ledger) {
		if r := s.Routing(); r != nil {
			reply = proto.TableReply{Number: r.Number, Source: r.Source}
		}
	})
	return reply, nil
}

// everywhere tells whether a version is in force on all live entry instances.
func (l *Lead) everywhere(version uint64) (bool, error) {
	var members []state.Member
	l.read(func(s *state.State, _ *ledger.Ledger) { members = s.Members() })
	var settled bool
	err := l.hold(func(time.Duration, uint64) { settled = l.roster.Settled(members, "", version) })
	return settled, err
}

// join brings what a member tells of itself into the state, if it is news.
func (l *Lead) join(ctx context.Context, m state.Member) (state.Member, error) {
	var known state.Member
	var same bool
	l.read(func(s *state.State, _ *ledger.Ledger) { known, same = s.Knows(m) })
	if same {
		return known, nil
	}
	l.meter.Count("member", "joined")
	joined, err := propose[state.Member](ctx, l, store.Command{Join: &m})
	if err != nil {
		return state.Member{}, err
	}
	return joined, nil
}

// Once takes a step of a run-once call.
func (l *Lead) Once(ctx context.Context, peer string, q proto.OnceRequest) (proto.OnceReply, error) {
	for _, text := range []string{q.Account, q.Service, q.Key, q.Fingerprint, q.Attempt, q.Holder, q.Type} {
		if len(text) > maxText {
			return proto.OnceReply{}, l.bad("text")
		}
	}
	if len(q.Body) > maxAnswer || q.Key == "" || q.Attempt == "" && q.Step != proto.OnceLookup {
		return proto.OnceReply{}, l.bad("once")
	}
	if q.Holder != "" && !strings.HasPrefix(q.Holder, peer+"/") {
		return proto.OnceReply{}, l.bad("holder")
	}
	if err := l.hold(func(now time.Duration, _ uint64) { l.roster.Heard(now, q.Holder) }); err != nil {
		return proto.OnceReply{}, err
	}
	if q.Step == proto.OnceLookup {
		if err := l.log.Barrier(ctx); err != nil {
			return proto.OnceReply{}, l.failed(err)
		}
		return l.store.Lookup(q), nil
	}
	r, err := propose[proto.OnceReply](ctx, l, store.Command{Once: &q})
	if err != nil {
		return proto.OnceReply{}, err
	}
	l.meter.Count("once", string(q.Step), string(r.Verdict))
	return r, nil
}

// Slice leases slices of limits.
func (l *Lead) Slice(_ context.Context, peer string, q proto.SliceRequest) (proto.SliceReply, error) {
	if peer != q.Name {
		return proto.SliceReply{}, l.bad("member")
	}
	accounts := make([]state.Account, len(q.Wants))
	entries := 0
	l.read(func(s *state.State, _ *ledger.Ledger) {
		entries = s.Entries()
		for i, w := range q.Wants {
			accounts[i], _ = s.Account(w.Account)
		}
	})
	var reply proto.SliceReply
	err := l.hold(func(now time.Duration, _ uint64) {
		for i, w := range q.Wants {
			if accounts[i].Name == "" {
				l.meter.Count("refused", "slice", "account")
				continue
			}
			reply.Grants = append(reply.Grants, l.slices.Grant(now, q.Name, entries, w, accounts[i]))
		}
	})
	return reply, err
}

// Strike records or clears a strike.
func (l *Lead) Strike(ctx context.Context, _ string, q proto.StrikeRequest) (proto.StrikeReply, error) {
	if q.Fingerprint == "" || len(q.Fingerprint) > maxText || len(q.Engine) > maxText {
		return proto.StrikeReply{}, l.bad("strike")
	}
	s, err := propose[state.Strike](ctx, l, store.Command{Hit: &store.Hit{Fingerprint: q.Fingerprint, Engine: q.Engine, Clear: q.Clear}})
	if err != nil {
		return proto.StrikeReply{}, err
	}
	if !q.Clear {
		l.meter.Count("strike", "recorded")
	}
	return proto.StrikeReply{Count: len(s.Engines), Until: s.Until, Engines: s.Engines}, nil
}
