package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// lostDisks is a random run in which a group loses as many disks as it tolerates after it has
// had time to replace an earlier one.
type lostDisks struct {
	*sim
	draw *rand.Rand
	log  string // what was drawn
}

// catchUpTime is how long after its return an instance without its disk may still count as
// lost, in the proportion to the election timeout that the platform has (4 s to 600 ms).
const catchUpTime = 20 * simElection / 3

func newLostDisks(voters, spares int, seed uint64) *lostDisks {
	o := defaultOptions(voters, spares)
	o.openMembership, o.targetVoters, o.founding = true, voters, true
	o.replaceAfter, o.lossRate = 25*simElection/6, 0
	d := &lostDisks{sim: newSim(o, seed), draw: rand.New(rand.NewPCG(seed, 17))}
	d.after(0, d.runClient)
	return d
}

func (d *lostDisks) upTo(limit time.Duration) time.Duration {
	return time.Duration(d.draw.Int64N(int64(limit) + 1))
}

func (d *lostDisks) at(t time.Duration, what string, run func()) {
	d.log += fmt.Sprintf("%s %s; ", t, what)
	d.after(t-d.now, run)
}

// wipe has an instance come back with an empty folder.
func (d *lostDisks) wipe(m *simMember, downtime time.Duration) {
	if m.alive {
		m.crash()
	}
	m.newFolder(false)
	d.after(downtime, m.bootIfDown)
}

// interrupt ends the leader's term within the time that the group has for a replacement.
func (d *lostDisks) interrupt(t time.Duration) {
	switch d.draw.IntN(3) {
	case 0:
		d.at(t, "all are killed", func() {
			for _, m := range d.members {
				m.crashFor(d.upTo(simElection))
			}
		})
	case 1:
		d.at(t, "the leader hands over", func() {
			if m := d.leader(); m != nil {
				m.step(TransferLeadership{})
			}
		})
	default:
		length := d.upTo(simElection)
		d.at(t, fmt.Sprintf("the leader is cut off for %s", simElection+length), func() {
			d.inject(fault{kind: faultIsolateLeader, length: simElection + length})
		})
	}
}

// loseInTurn has one member after the other lose its disk, in groups that tolerate it before the
// first counts as replaced. It returns when the last one is back.
func (d *lostDisks) loseInTurn(members []int) time.Duration {
	t := 2*time.Second + d.upTo(time.Second)
	for _, i := range members {
		d.at(t, fmt.Sprintf("m%d loses its disk", i), func() { d.wipe(d.members[i], 100*time.Millisecond) })
		t += 100 * time.Millisecond
		for range 1 + d.draw.IntN(2) {
			d.interrupt(t + d.upTo(2*simElection))
		}
		if i != members[len(members)-1] {
			t += simElection + d.upTo(9*simElection)
		}
	}
	return t
}

// run loses disks in turn, then, once all of these count as replaced, as many as the group
// tolerates; the others lose power. It returns the violation found, "" for none.
func (d *lostDisks) run() (found violation) {
	defer func() {
		if v := recover(); v != nil {
			found = violationOf(v)
		}
	}()
	tolerated := (d.options.voters - 1) / 2
	order := d.draw.Perm(d.options.voters)
	first := 1 + d.draw.IntN(tolerated)
	back := d.loseInTurn(order[:first])
	lost := order[first : first+tolerated]
	d.at(back+catchUpTime, fmt.Sprintf("%v lose their disks, the others power", lost), func() {
		for _, i := range lost {
			d.wipe(d.members[i], d.upTo(simElection))
		}
		for _, m := range d.members {
			m.crashFor(d.upTo(simElection))
		}
	})
	d.runUntil(func() bool { return d.now >= back+catchUpTime+2*simElection })
	d.healAndCheck()
	return ""
}

// TestDisksLostAfterElectionsLeaveAMajority guards against a replacement that each new leader
// puts off, so that a group stands without a majority of its old voters for good.
func TestDisksLostAfterElectionsLeaveAMajority(t *testing.T) {
	for _, shape := range []struct{ voters, spares int }{{3, 0}, {5, 0}, {3, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d voters, %d more", shape.voters, shape.spares), func(t *testing.T) {
			t.Parallel()
			seeds := max(*soakSeeds, 40)
			failed := 0
			for seed := 1; seed <= seeds; seed++ {
				d := newLostDisks(shape.voters, shape.spares, uint64(seed))
				if v := d.run(); v != "" {
					failed++
					t.Errorf("seed %d: %s: %.400s", seed, d.log, v)
				}
			}
			t.Logf("%d of %d seeds failed", failed, seeds)
		})
	}
}
