package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/trial/check"
)

const (
	commandPause = 500 * time.Millisecond
	commandWait  = 4 * time.Second
	resends      = 4
	raceBase     = 1 << 32 // numbers of raced commands
)

// operate makes a change of configuration every now and then.
func (r *run) operate(ctx context.Context) {
	random := r.source(streamOperate, 0)
	for n := uint64(1); ctx.Err() == nil; n++ {
		text := fmt.Sprintf("declare account client%d tokens %d requests %d", random.IntN(200), random.IntN(10000)+1, random.IntN(100)+1)
		r.command(ctx, "steady", n, text)
		pause(ctx, commandPause)
	}
}

// command sends a command until it is accepted, at each keeper in turn.
func (r *run) command(ctx context.Context, operator string, number uint64, text string) {
	for i := range resends {
		keeper := r.fleet.Keepers()[(int(number)+i)%len(r.fleet.Keepers())]
		one, cancel := context.WithTimeout(ctx, commandWait)
		reply, err := r.fleet.RunAt(one, keeper, proto.RunRequest{Operator: operator, Number: number, Text: text})
		cancel()
		if err == nil {
			r.accept(check.Accept{Operator: operator, Number: number, Text: text, At: time.Now(), Version: reply.Version})
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func (r *run) accept(a check.Accept) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Accepts = append(r.record.Accepts, a)
}

// race lets two operators use one number for two commands at the same time,
// and both resend theirs.
func (r *run) race(ctx context.Context, number uint64) {
	var group sync.WaitGroup
	for i := range 2 {
		text := fmt.Sprintf("declare account raced%d tokens %d", number%7, i+1)
		group.Go(func() {
			for range 2 {
				r.command(ctx, "racer", raceBase+number, text)
			}
		})
	}
	group.Wait()
}
