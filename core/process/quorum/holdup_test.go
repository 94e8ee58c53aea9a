package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// holdUps is a random run in which the members' processes get no processor for some time. What
// arrives meanwhile waits; a member that goes on may see its timer first.
type holdUps struct {
	*sim
	draw *rand.Rand
}

// Hold-ups of 200 to 1500 ms beside the platform's election timeout of 600 ms.
const (
	shortHoldUp = simElection / 3
	longHoldUp  = 5 * simElection / 2
)

func newHoldUps(voters, spares int, seed uint64) *holdUps {
	o := defaultOptions(voters, spares)
	o.lossRate, o.duplicateRate, o.delayRate = 0, 0, 0
	h := &holdUps{sim: newSim(o, seed), draw: rand.New(rand.NewPCG(seed, 23))}
	h.after(0, h.runClient)
	return h
}

func (h *holdUps) between(least, most time.Duration) time.Duration {
	return least + time.Duration(h.draw.Int64N(int64(most-least)+1))
}

// holdUp keeps a member from running for a time.
func (h *holdUps) holdUp(m *simMember, length time.Duration) {
	m.paused = true
	h.after(length, func() {
		if h.draw.IntN(2) == 0 {
			m.step(Tick{})
		}
		m.resume()
	})
}

func (h *holdUps) runFor(d time.Duration) {
	end := h.now + d
	h.runUntil(func() bool { return h.now >= end })
}

// TestMembersHeldUpTogetherKeepLeader guards against elections on a busy machine: members that
// go on within a heartbeat interval of each other have lost nobody.
func TestMembersHeldUpTogetherKeepLeader(t *testing.T) {
	for _, voters := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			t.Parallel()
			changes, seeds := 0, max(*soakSeeds, 40)
			for seed := range uint64(seeds) {
				h := newHoldUps(voters, 0, seed)
				h.runFor(3 * time.Second)
				for range 5 {
					leader, term := h.leader(), h.leader().core.Term()
					length := h.between(shortHoldUp, longHoldUp)
					for _, m := range h.members {
						h.holdUp(m, length+h.between(0, simHeartbeat))
					}
					h.runFor(2 * time.Second)
					if h.leader() != leader || leader.core.Term() != term {
						changes++
					}
				}
			}
			if changes > 0 {
				t.Errorf("another leader after %d of %d hold-ups", changes, 5*seeds)
			}
		})
	}
}

// A leader that was held up with all others for the replacement time has lost none of them.
func TestHeldUpLeaderReplacesNobody(t *testing.T) {
	for seed := range uint64(40) {
		h := newHoldUps(3, 1, seed)
		h.runFor(3 * time.Second)
		before := h.leader().core.CommittedConfig()
		for _, m := range h.members {
			h.holdUp(m, h.options.replaceAfter+h.between(0, simHeartbeat))
		}
		h.runFor(3 * time.Second)
		for _, v := range h.leader().core.CommittedConfig().Members {
			if m, ok := before.Find(v.Identity); !ok || m.Voter != v.Voter {
				t.Fatalf("seed %d: voters %s, before %s", seed, h.leader().core.CommittedConfig().voterNames(), before.voterNames())
			}
		}
	}
}

// lateMember is one of three voters, whose ticks the test sends.
type lateMember struct {
	*Core
	now time.Duration
}

func newLateMember() *lateMember {
	config := Config{Members: []Member{{Name: "a", Identity: "a", Voter: true}, {Name: "b", Identity: "b", Voter: true}, {Name: "c", Identity: "c", Voter: true}}}
	stored := DurableState{Hard: HardState{Group: "g", Term: 1}, Snapshot: SnapshotMeta{Index: 1, Term: 1, Config: config}}
	settings := Settings{Name: "a", Identity: "a", HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection}
	return &lateMember{Core: New(settings, stored, rand.New(rand.NewPCG(1, 1)), 0)}
}

// tickAfter sends a tick after a time and returns whether this member asked for votes.
func (m *lateMember) tickAfter(d time.Duration) bool {
	m.now += d
	return slices.ContainsFunc(m.Step(m.now, Tick{}), func(a Action) bool {
		s, ok := a.(Send)
		return ok && (s.Message.Kind == MessagePreVote || s.Message.Kind == MessageVote)
	})
}

func (m *lateMember) receive(message Message) {
	message.From, message.FromIdentity, message.ToIdentity, message.Group, message.Term = "b", "b", "a", "g", m.Term()
	for _, a := range m.Step(m.now, Receive{Message: message}) {
		if p, ok := a.(Persist); ok {
			m.Step(m.now, Persisted{Number: p.Number})
		}
	}
}

func TestLateTickLeavesTimeForWaitingHeartbeat(t *testing.T) {
	m := newLateMember()
	m.receive(Message{Kind: MessageAppend, Index: 1, LogTerm: 1})
	if m.tickAfter(longHoldUp) {
		t.Fatal("asks for votes while a heartbeat waits")
	}
	m.receive(Message{Kind: MessageAppend, Index: 1, LogTerm: 1})
	if m.Leader() != "b" {
		t.Fatalf("follows %q", m.Leader())
	}
}

func TestLateTickLeavesTimeForWaitingVotes(t *testing.T) {
	m := newLateMember()
	for !m.tickAfter(simTick) {
	}
	m.receive(Message{Kind: MessagePreVoteReply, Round: m.Term() + 1})
	m.tickAfter(longHoldUp)
	m.receive(Message{Kind: MessageVoteReply})
	if m.Role() != RoleLeader {
		t.Fatalf("%s in term %d although the others granted their votes", m.Role(), m.Term())
	}
}

// A machine that is always busy must still elect a leader.
func TestSteadyLateTicksPutCampaignOffOnce(t *testing.T) {
	m := newLateMember()
	for range 2 {
		if m.tickAfter(longHoldUp) {
			return
		}
	}
	t.Fatal("two late ticks without a campaign")
}

// A leader that was held up after it had begun a write handed over, although its disk was well.
func TestHeldUpLeaderKeepsLeadWithPendingWrite(t *testing.T) {
	for seed := range uint64(20) {
		h := newHoldUps(3, 0, seed)
		h.runFor(3 * time.Second)
		leader := h.leader()
		h.after(0, func() {
			leader.step(Propose{Commands: []Command{{ID: 1 << 40, Data: []byte("12345678")}}})
			leader.paused = true
		})
		h.after(longHoldUp, func() {
			leader.step(Tick{})
			if leader.core.Role() == RoleLeader && leader.core.transfer.requested {
				t.Errorf("seed %d: hands over", seed)
			}
			leader.resume()
		})
		h.runFor(2 * longHoldUp)
	}
}
