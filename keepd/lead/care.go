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
	carePeriod = 100 * time.Millisecond
	// carePart is the share of the member lease between two checks.
	carePart = 10
)

// runCare keeps the state in step with what is alive.
func (l *Lead) runCare(ctx context.Context) {
	var booted uint64
	period := min(carePeriod, time.Duration(l.settings.Member.Lease)/carePart)
	every(ctx, period, func() {
		term := l.leading()
		if term == 0 {
			return
		}
		if booted != term && l.boot(ctx) {
			booted = term
		}
		l.expireMembers(ctx)
		l.expireHolders(ctx)
		l.release(ctx)
	})
}

func (l *Lead) boot(ctx context.Context) bool {
	_, err := propose[any](ctx, l, store.Command{Boot: &store.Boot{
		Account: l.settings.Account,
		Digest:  l.settings.Digest,
		Ledger:  ledger.Settings{Life: time.Duration(l.settings.Ledger.Life), Bytes: l.settings.Ledger.Bytes},
	}})
	return err == nil
}

func (l *Lead) expireMembers(ctx context.Context) {
	var members []state.Member
	l.read(func(s *state.State, _ *ledger.Ledger) { members = s.Members() })
	var lost []string
	err := l.hold(func(now time.Duration, _ uint64) { lost = l.roster.Lost(now, members) })
	if err != nil {
		return
	}
	for _, name := range lost {
		klog.Infof("member %s is lost", name)
		l.meter.Count("member", "lost")
		if _, err := propose[any](ctx, l, store.Command{Lose: &store.Named{Name: name}}); err != nil {
			return
		}
	}
}

func (l *Lead) expireHolders(ctx context.Context) {
	var holders []string
	l.read(func(_ *state.State, g *ledger.Ledger) {
		holders = g.Holders()
		l.meter.Set(int64(g.Bytes()), "ledger", "bytes")
		l.meter.Set(int64(g.Len()), "ledger", "records")
	})
	var gone []string
	err := l.hold(func(now time.Duration, _ uint64) { gone = l.roster.Vanished(now, holders) })
	if err != nil {
		return
	}
	for _, h := range gone {
		klog.Infof("holder %s vanished", h)
		l.meter.Count("ledger", "vanished")
		if _, err := propose[int](ctx, l, store.Command{Vanish: &store.Named{Name: h}}); err != nil {
			return
		}
	}
}

// release finishes withdrawals of what is idle, and starts withdrawals of what
// is replaced by something that serves.
func (l *Lead) release(ctx context.Context) {
	for _, p := range l.due() {
		_, err := propose[any](ctx, l, store.Command{Free: &store.Named{Noun: p.Noun, Name: p.Name}})
		if err != nil {
			klog.Warningf("release %s %s: %v", p.Noun, p.Name, err)
			continue
		}
		klog.Infof("released %s %s", p.Noun, p.Name)
	}
}

// due returns the pending steps whose time has come.
func (l *Lead) due() []state.Pending {
	var due []state.Pending
	l.read(func(s *state.State, _ *ledger.Ledger) {
		pending := s.Pending()
		if len(pending) == 0 {
			return
		}
		_ = l.hold(func(now time.Duration, _ uint64) {
			for _, p := range pending {
				if l.isDue(s, p, now) {
					due = append(due, p)
				}
			}
		})
	})
	return due
}

func (l *Lead) isDue(s *state.State, p state.Pending, now time.Duration) bool {
	if p.Target != "" {
		phase, _ := s.Phase(p.Noun, p.Target)
		report, heard := l.roster.Report(p.Target)
		return phase == state.PhaseServing && (p.Noun != state.NounEngine || heard && report.Alive)
	}
	if p.Noun == state.NounMember {
		return len(l.roster.Lost(now, []state.Member{{Name: p.Name, Kind: state.MemberEntry}})) > 0
	}
	phase, version := s.Phase(p.Noun, p.Name)
	return phase == state.PhaseLeaving && l.roster.Settled(s.Members(), p.Name, version)
}
