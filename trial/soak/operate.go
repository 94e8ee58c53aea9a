package soak

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/trial/check"
	"verbenahaven.example/trial/fleet"
)

const (
	commandPause = 500 * time.Millisecond
	commandWait  = 4 * time.Second
	resends      = 12
	resendPause  = 300 * time.Millisecond
	clients      = 200     // accounts that commands declare
	raced        = 7       // accounts that raced commands declare
	maxTokens    = 10000   // a second
	raceBase     = 1 << 32 // numbers of raced commands

	conflict = `"conflict"` // code of a number that was used

	steady  = "steady"  // operator of a command now and then
	planner = "planner" // operator of planned changes
	racer   = "racer"   // account that two operators share
)

// operate makes a change of configuration every now and then.
func (r *run) operate(ctx context.Context) {
	random := r.source(streamOperate, 0)
	for n := uint64(1); ctx.Err() == nil; n++ {
		text := fmt.Sprintf("declare account client%d digest %q tokens %d", random.IntN(clients), fleet.Digest("client"), random.IntN(maxTokens)+1)
		r.command(ctx, steady, n, text)
		clock.Sleep(ctx, commandPause)
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
		r.refuse(text, err)
		if strings.Contains(err.Error(), conflict) {
			return
		}
		clock.Sleep(ctx, resendPause)
	}
}

// refuse counts a command that was not accepted, by what was answered.
func (r *run) refuse(text string, err error) {
	if !errors.Is(err, fleet.ErrRefused) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.refused == nil {
		r.refused = make(map[string]int)
	}
	verb, _, _ := strings.Cut(text, " ")
	_, code, _ := strings.Cut(err.Error(), `"code":`)
	code, _, _ = strings.Cut(code, ",")
	r.refused[verb+": "+strings.Trim(code, ` "`)]++
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
		text := fmt.Sprintf("declare account raced%d digest %q tokens %d", number%raced, fleet.Digest("raced"), i+1)
		group.Go(func() {
			for range 2 {
				r.command(ctx, racer, raceBase+number, text)
			}
		})
	}
	group.Wait()
}
