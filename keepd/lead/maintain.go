package lead

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

const (
	maxMaintenancePeriod = 100 * time.Millisecond
	// checksPerLease is the least number of maintenance checks within a
	// member's lease.
	checksPerLease = 10
)

// runMaintenance expires silent members and holders and advances pending
// withdrawals and replacements, while this member leads.
func (l *Leader) runMaintenance(ctx context.Context) {
	var bootstrapped uint64
	period := min(maxMaintenancePeriod, time.Duration(l.settings.Member.Lease)/checksPerLease)
	runEvery(ctx, period, func() {
		term := l.heldTerm()
		if term == 0 {
			return
		}
		if bootstrapped != term && l.bootstrap(ctx) {
			bootstrapped = term
		}
		l.raiseLevel(ctx)
		l.expireMembers(ctx)
		l.expireHolders(ctx)
		l.advanceRemovals(ctx)
	})
}

// bootstrap commits the operators' account and the limits of the ledger, and
// reports whether it succeeded.
func (l *Leader) bootstrap(ctx context.Context) bool {
	_, err := propose[any](ctx, l, store.Command{Bootstrap: &store.Bootstrap{
		OperatorAccount: l.settings.Account,
		TokenDigest:     l.settings.Digest,
		Ledger:          ledger.Settings{TTL: time.Duration(l.settings.Ledger.TTL), MaxBytes: l.settings.Ledger.MaxBytes},
	}})
	return err == nil
}

func (l *Leader) expireMembers(ctx context.Context) {
	var members []state.Member
	l.readState(func(s *state.State, _ *ledger.Ledger) { members = s.Members() })
	var lost []string
	err := l.withLease(func(now time.Duration, _ uint64) { lost = l.roster.LostMembers(now, members) })
	if err != nil {
		return
	}
	for _, name := range lost {
		klog.Infof("member %s: lease expired, marked as lost", name)
		l.meter.Count("member", "lost")
		if _, err := propose[any](ctx, l, store.Command{MarkLost: &store.ObjectRef{Name: name}}); err != nil {
			return
		}
	}
}

func (l *Leader) expireHolders(ctx context.Context) {
	var holders []string
	l.readState(func(_ *state.State, g *ledger.Ledger) {
		holders = g.Holders()
		l.meter.Set(int64(g.UsedBytes()), "ledger", "bytes")
		l.meter.Set(int64(g.Len()), "ledger", "records")
	})
	var lost []string
	err := l.withLease(func(now time.Duration, _ uint64) { lost = l.roster.LostHolders(now, holders) })
	if err != nil {
		return
	}
	for _, h := range lost {
		klog.Infof("holder %s vanished", h)
		l.meter.Count("ledger", "vanished")
		if _, err := propose[int](ctx, l, store.Command{HolderLost: &store.ObjectRef{Name: h}}); err != nil {
			return
		}
	}
}

// advanceRemovals finishes the withdrawal of objects that are idle, and starts the
// withdrawal of objects whose replacement is serving.
func (l *Leader) advanceRemovals(ctx context.Context) {
	for _, p := range l.dueRemovals() {
		_, err := propose[any](ctx, l, store.Command{AdvanceRemoval: &store.ObjectRef{Noun: p.Noun, Name: p.Name}})
		if err != nil {
			klog.Warningf("removal of %s %s not advanced: %v", p.Noun, p.Name, err)
			continue
		}
		klog.Infof("released %s %s", p.Noun, p.Name)
	}
}

// dueRemovals returns the pending withdrawals and replacements that can proceed
// now.
func (l *Leader) dueRemovals() []state.PendingRemoval {
	var due []state.PendingRemoval
	l.readState(func(s *state.State, _ *ledger.Ledger) {
		pending := s.PendingRemovals()
		if len(pending) == 0 {
			return
		}
		_ = l.withLease(func(now time.Duration, _ uint64) {
			for _, p := range pending {
				if l.isDue(s, p, now) {
					due = append(due, p)
				}
			}
		})
	})
	return due
}

// isDue reports whether the next step of a pending removal can be taken. A
// replacement must be serving, and reported alive if it is an engine. Without a
// replacement, a member must be lost, and a backend server drained.
func (l *Leader) isDue(s *state.State, p state.PendingRemoval, now time.Duration) bool {
	if p.Replacement != "" {
		phase, _ := s.Phase(p.Noun, p.Replacement)
		report, heard := l.roster.Report(p.Replacement)
		return phase == state.PhaseServing && (p.Noun != state.NounEngine || heard && report.Alive)
	}
	if p.Noun == state.NounMember {
		return len(l.roster.LostMembers(now, []state.Member{{Name: p.Name, Kind: state.MemberEntry}})) > 0
	}
	phase, version := s.Phase(p.Noun, p.Name)
	return phase == state.PhaseLeaving && l.roster.Drained(s.Members(), p.Name, version)
}
