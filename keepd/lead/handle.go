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

// Limits of requests from other instances.
const (
	maxAnswerBytes = 1 << 20 // body of a recorded answer
	maxTextBytes   = 512     // a key or a name
	maxWatchWait   = 30 * time.Second
)

func (l *Leader) badRequest(reason string) error {
	l.meter.Count("refused", "message", reason)
	return &link.RemoteError{Code: link.CodeBadMessage, Detail: reason}
}

// Watch returns the state after the version that an instance has, and waits for
// a change if there is none. Any member serves it, not only the leader.
func (l *Leader) Watch(ctx context.Context, _ string, q proto.WatchRequest) (proto.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, min(q.MaxWait, maxWatchWait))
	defer cancel()
	view := l.store.WaitForChange(ctx, q.AfterVersion)
	status := l.log.Status()
	return proto.WatchReply{View: view, Leader: status.Leader, Age: status.SinceContact}, nil
}

// Heartbeat records the heartbeat of an entry instance.
func (l *Leader) Heartbeat(ctx context.Context, peer string, q proto.HeartbeatRequest) (proto.HeartbeatReply, error) {
	if peer != q.Member.Name || q.Member.Kind != state.MemberEntry {
		return proto.HeartbeatReply{}, l.badRequest("member")
	}
	l.dropInvalid(&q)
	err := l.withLease(func(now time.Duration, _ uint64) {
		l.roster.RecordHeartbeat(now, q)
		l.limits.Put(time.Unix(0, 0).Add(now), q.Limits)
		l.notices.Put(time.Unix(0, 0).Add(now), q.Notices)
	})
	if err != nil {
		return proto.HeartbeatReply{}, err
	}
	known, err := l.registerMember(ctx, q.Member)
	if err != nil {
		return proto.HeartbeatReply{}, err
	}
	reply := proto.HeartbeatReply{Lease: time.Duration(l.settings.Member.Lease), Phase: known.Phase}
	now := l.clock.Now()
	l.readState(func(s *state.State, _ *ledger.Ledger) {
		reply.Version = s.Version()
		for _, b := range s.FormerBuilds() {
			reply.FormerBuilds = append(reply.FormerBuilds, proto.FormerBuild{Pool: b.Pool, Build: b.Build, Age: max(0, now.Sub(b.Left))})
		}
	})
	if l.discovery != nil {
		l.addUpdates(&reply, q)
	}
	l.receiveUsage(&q, &reply)
	if known.Phase != state.PhaseLeaving {
		return reply, nil // only a leaving member waits for the others to apply its phase
	}
	reply.LeavingApplied, err = l.appliedEverywhere(known.Version)
	return reply, err
}

const (
	// beatSpacing is the least time between two heartbeats from any instances that
	// a leader can sustain beside its other work.
	beatSpacing = 700 * time.Microsecond
	// minBeatInterval is the shortest time between two heartbeats of one
	// instance, and maxBeatInterval the longest: changes of the state come with
	// them.
	minBeatInterval = 20 * time.Millisecond
	maxBeatInterval = 150 * time.Millisecond
	// delegatingInterval is the time between two heartbeats of an instance that
	// needs no loads, only changes of the state.
	delegatingInterval = 200 * time.Millisecond
	// beatsPerPrefill is the number of heartbeats of an instance in the mean time
	// of a prefill. The work at the engines changes with each prefill, so more
	// heartbeats tell little new.
	beatsPerPrefill = 4
)

// addUpdates adds what the instance doesn't have yet: changes of the state,
// load of the engines, the keepers, and the interval to its next heartbeat.
func (l *Leader) addUpdates(reply *proto.HeartbeatReply, q proto.HeartbeatRequest) {
	_ = l.withLease(func(now time.Duration, _ uint64) {
		live := l.roster.LiveCount(now)
		reply.Limits = l.limits.List(time.Unix(0, 0).Add(now))
		reply.Notices = l.notices.List(time.Unix(0, 0).Add(now))
		if q.Delegates {
			reply.ReportsRevision = q.ReportsRevision
			reply.Interval = max(delegatingInterval, time.Duration(live)*beatSpacing)
			return
		}
		c := l.work.Next(q.Member.Name, q.WorkRevision, l.roster.LoadsExcept(now, q.Member.Name))
		reply.OtherWork, reply.WorkGone, reply.WorkBase, reply.WorkRevision = c.Items, c.Gone, c.Base, c.Revision
		reply.Reports, reply.ReportsRevision = l.roster.ReportsSince(q.ReportsRevision)
		reply.Interval = max(minBeatInterval, min(l.roster.PrefillTime()/beatsPerPrefill, maxBeatInterval), time.Duration(l.roster.PlacingCount(now))*beatSpacing)
	})
	read := l.clock.Now()
	for i := range reply.Reports {
		r := &reply.Reports[i]
		r.Age, r.At = read.Sub(r.At).Truncate(time.Millisecond), time.Time{}
	}
	if reply.Version > q.Version {
		delta, err := l.store.PackedView(q.Version)
		if err != nil {
			klog.ErrorS(err, "state changes not encoded")
			return
		}
		reply.Delta = delta
	}
	status := l.log.Status()
	reply.KeeperAddresses = slices.Concat(status.Voters, status.Learners)
}

// Group names the members of the log.
func (l *Leader) Group(context.Context, string, proto.GroupRequest) (proto.Group, error) {
	if err := l.withLease(func(time.Duration, uint64) {}); err != nil {
		return proto.Group{}, err
	}
	status := l.log.Status()
	return proto.Group{Members: slices.Concat(status.Voters, status.Learners), Leader: status.Leader}, nil
}

// PublishRouting publishes a routing table unless the current one has the same or
// a higher number, and replies with the number of the table that is then current.
func (l *Leader) PublishRouting(ctx context.Context, _ string, q proto.PublishRequest) (proto.PublishReply, error) {
	if n, published := l.Published(q.Routing.Number); published {
		return proto.PublishReply{Number: n}, nil
	}
	current, err := propose[uint64](ctx, l, store.Command{PublishRouting: &q.Routing})
	if err != nil {
		return proto.PublishReply{}, err
	}
	klog.InfoS("routing table published", "number", q.Routing.Number, "force", current, "routes", len(q.Routing.Routes))
	return proto.PublishReply{Number: current}, nil
}

// Published reports whether a routing table, or one with a higher number, is committed as far as
// this member knows, and returns the number of that one. It needs no other member, so that
// operators who repeat a call whose answer was lost or late add no load to the log.
func (l *Leader) Published(number uint64) (current uint64, published bool) {
	l.readState(func(s *state.State, _ *ledger.Ledger) {
		if r := s.Routing(); r != nil && r.Number >= number {
			current, published = r.Number, true
		}
	})
	return current, published
}

// ReadRouting returns the current routing table with a linearizable read,
// confirmed by a majority.
func (l *Leader) ReadRouting(ctx context.Context, _ string, _ proto.RoutingRequest) (proto.RoutingReply, error) {
	if err := l.log.Barrier(ctx); err != nil {
		return proto.RoutingReply{}, l.remoteError(err)
	}
	var reply proto.RoutingReply
	l.readState(func(s *state.State, _ *ledger.Ledger) {
		if r := s.Routing(); r != nil {
			reply = proto.RoutingReply{Number: r.Number, Source: r.Source}
		}
	})
	return reply, nil
}

// appliedEverywhere reports whether all live entry instances have applied a
// version of the state.
func (l *Leader) appliedEverywhere(version uint64) (bool, error) {
	var members []state.Member
	l.readState(func(s *state.State, _ *ledger.Ledger) { members = s.Members() })
	var applied bool
	err := l.withLease(func(time.Duration, uint64) { applied = l.roster.Drained(members, "", version) })
	return applied, err
}

// registerMember records a member as it describes itself, if the state differs.
func (l *Leader) registerMember(ctx context.Context, m state.Member) (state.Member, error) {
	var known state.Member
	var same bool
	l.readState(func(s *state.State, _ *ledger.Ledger) { known, same = s.CompareMember(m) })
	if same {
		return known, nil
	}
	l.meter.Count("member", "joined")
	registered, err := propose[state.Member](ctx, l, store.Command{Join: &m})
	if err != nil {
		return state.Member{}, err
	}
	return registered, nil
}

// Once executes a step of a run-once call: one that is executed at most once
// per idempotency key.
func (l *Leader) Once(ctx context.Context, peer string, q proto.OnceRequest) (proto.OnceReply, error) {
	for _, text := range []string{q.Account, q.Service, q.Key, q.Fingerprint, q.Attempt, q.Holder, q.ContentType} {
		if len(text) > maxTextBytes {
			return proto.OnceReply{}, l.badRequest("text")
		}
	}
	if len(q.Body) > maxAnswerBytes || q.Key == "" || q.Attempt == "" && q.Step != proto.OnceLookup {
		return proto.OnceReply{}, l.badRequest("once")
	}
	if q.Holder != "" && !strings.HasPrefix(q.Holder, peer+"/") {
		return proto.OnceReply{}, l.badRequest("holder")
	}
	if err := l.withLease(func(now time.Duration, _ uint64) { l.roster.RecordHolder(now, q.Holder) }); err != nil {
		return proto.OnceReply{}, err
	}
	if q.Step == proto.OnceLookup {
		if err := l.log.Barrier(ctx); err != nil {
			return proto.OnceReply{}, l.remoteError(err)
		}
		return l.store.Lookup(q), nil
	}
	r, err := propose[proto.OnceReply](ctx, l, store.Command{RunOnce: &q})
	if err != nil {
		return proto.OnceReply{}, err
	}
	l.meter.Count("once", string(q.Step), string(r.Verdict))
	return r, nil
}

// LeaseLimits grants an entry instance leases on slices of the limits of client
// accounts.
func (l *Leader) LeaseLimits(_ context.Context, peer string, q proto.GrantRequest) (proto.GrantReply, error) {
	if peer != q.Name {
		return proto.GrantReply{}, l.badRequest("member")
	}
	accounts := make([]state.Account, len(q.Demands))
	entries := 0
	l.readState(func(s *state.State, _ *ledger.Ledger) {
		entries = s.EntryCount()
		for i, w := range q.Demands {
			accounts[i], _ = s.Account(w.Account)
		}
	})
	var reply proto.GrantReply
	err := l.withLease(func(now time.Duration, _ uint64) {
		for i, w := range q.Demands {
			if accounts[i].Name == "" {
				l.meter.Count("refused", "slice", "account")
				continue
			}
			reply.Grants = append(reply.Grants, l.allocator.Grant(now, q.Name, entries, w, accounts[i]))
		}
	})
	return reply, err
}

// Strike records or clears a strike: the loss of an engine while it ran a
// request with this fingerprint.
func (l *Leader) Strike(ctx context.Context, _ string, q proto.StrikeRequest) (proto.StrikeReply, error) {
	if q.Fingerprint == "" || len(q.Fingerprint) > maxTextBytes || len(q.Engine) > maxTextBytes {
		return proto.StrikeReply{}, l.badRequest("strike")
	}
	s, err := propose[state.Strike](ctx, l, store.Command{ChangeStrike: &store.StrikeChange{Fingerprint: q.Fingerprint, Engine: q.Engine, Clear: q.Clear}})
	if err != nil {
		return proto.StrikeReply{}, err
	}
	if !q.Clear {
		l.meter.Count("strike", "recorded")
	}
	return proto.StrikeReply{Count: len(s.LostEngines), ExpiresAt: s.ExpiresAt, Engines: s.LostEngines}, nil
}

// maxCauses bounds the causes of one request: the parts of its prompt and the
// request itself.
const maxCauses = 256

// Screen records what may have crashed an engine, and decides whether a request
// that may crash another one is sent.
func (l *Leader) Screen(ctx context.Context, _ string, q state.Screening) (state.Permission, error) {
	names := slices.Concat(q.Causes, q.Clear, []string{q.Trial})
	if q.Loss != nil {
		names = append(names, q.Loss.Engine, q.Loss.Trial)
		for _, c := range q.Loss.Causes {
			names = append(names, c.Name)
		}
	}
	tooLong := slices.ContainsFunc(names, func(name string) bool { return len(name) > maxTextBytes })
	if tooLong || len(names) > maxCauses {
		return state.Permission{}, l.badRequest("screen")
	}
	p, err := propose[state.Permission](ctx, l, store.Command{Screen: &q})
	if err != nil {
		return state.Permission{}, err
	}
	if q.Loss != nil {
		l.meter.Count("screen", "loss")
	}
	if !p.Allowed {
		l.meter.Count("screen", "held")
	}
	return p, nil
}
