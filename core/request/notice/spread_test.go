package notice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// heldAnswer is an answer that an instance hasn't read yet.
type heldAnswer struct {
	table   *Table
	ticket  *Ticket
	leaving bool
	heard   time.Time
}

// Plays instances that stand still, have older lists than others or start anew, and leaders
// that change: no instance applies what one start said to another, and each learns of its own
// start what the leader was told of it, whatever that was told of other starts.
func TestStatementsHoldForTheirStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now, board := epoch, NewBoard()
		newest, leaving := 1, make(map[string]bool) // starts that are leaving
		told := make(map[string]time.Time)          // the board
		tables, listed := make([]*Table, 3), make([]string, 3)
		list := func(i, start int) {
			listed[i] = fmt.Sprint(start)
			tables[i].Update(now, map[string]string{"a": listed[i]})
		}
		restart := func(i int) {
			tables[i] = New(fmt.Sprint("i", i))
			list(i, max(1, newest-random.IntN(2)))
		}
		for i := range tables {
			restart(i)
		}
		var held []heldAnswer
		for range 400 {
			now = now.Add(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
			held = slices.DeleteFunc(held, func(a heldAnswer) bool {
				if a.heard.After(now) {
					return false
				}
				a.table.Hear(now, a.ticket, Statement{Leaving: a.leaving})
				return true
			})
			i := random.IntN(len(tables))
			switch random.IntN(12) {
			case 0:
				newest++
			case 1:
				leaving[fmt.Sprint(newest)] = true
			case 2:
				list(i, max(1, newest-random.IntN(2)))
			case 3:
				restart(i)
			case 4:
				if random.IntN(8) == 0 {
					board = NewBoard()
					clear(told)
				}
			case 5, 6, 7:
				if ticket, err := tables[i].Send(now, "a"); err == nil {
					wait := time.Duration(random.Int64N(int64(minLeaving - time.Second)))
					held = append(held, heldAnswer{tables[i], ticket, leaving[listed[i]], now.Add(wait)})
				}
			default:
				news := tables[i].Unreported(now)
				board.Put(now, news)
				for _, n := range news {
					told[n.Start] = now.Add(-n.Age)
				}
				if random.IntN(3) == 0 {
					break // the reply is lost
				}
				tables[i].MarkReported(now)
				tables[i].Learn(now, board.List(now))
				if at, known := told[listed[i]]; known && now.Sub(at) <= leavingMemory && !tables[i].Leaving(now, "a") {
					t.Fatalf("instance %d doesn't learn that start %s is leaving, which the leader was told", i, listed[i])
				}
			}
			for i := range tables {
				if tables[i].Leaving(now, "a") && !leaving[listed[i]] {
					t.Fatalf("instance %d takes start %s for leaving, which never said so", i, listed[i])
				}
			}
		}
	})
}
