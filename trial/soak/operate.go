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
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/check"
	"verbenahaven.example/trial/fleet"
)

const (
	commandPause      = 500 * time.Millisecond
	commandTimeout    = 4 * time.Second
	maxSends          = 12
	resendPause       = 300 * time.Millisecond
	accountCount      = 200     // accounts that the steady operator declares
	racedAccountCount = 7       // accounts that racing commands declare
	maxTokenRate      = 10000   // tokens per second
	raceNumberBase    = 1 << 32 // offset of the numbers of racing commands

	conflictCode = `"conflict"` // error code of a number that another command used

	steadyOperator  = "steady"  // operator that changes the configuration regularly
	plannerOperator = "planner" // operator that sends planned changes
	racingOperator  = "racer"   // account shared by two concurrent operators
)

// runOperator changes the configuration at regular intervals.
func (r *run) runOperator(ctx context.Context) {
	random := r.newRand(randOperator, 0)
	for n := uint64(1); ctx.Err() == nil; n++ {
		text := fmt.Sprintf("declare account client%d digest %q tokens %d", random.IntN(accountCount), fleet.Digest("client"), random.IntN(maxTokenRate)+1)
		r.sendCommand(ctx, steadyOperator, n, text)
		clock.Sleep(ctx, commandPause)
	}
}

// sendCommand sends a command to each keeper in turn until one accepts it, the
// number turns out to be used by another command, or maxSends were made.
func (r *run) sendCommand(ctx context.Context, operator string, number uint64, text string) {
	for i := range maxSends {
		keeper := r.fleet.Keepers()[(int(number)+i)%len(r.fleet.Keepers())]
		callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
		reply, err := r.fleet.RunAt(callCtx, keeper, proto.RunRequest{Operator: operator, Number: number, Text: text})
		cancel()
		if err == nil {
			r.recordAccepted(check.AcceptedCommand{Operator: operator, Number: number, Text: text, At: time.Now(), Version: reply.Version})
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.countRefusal(text, err)
		if strings.Contains(err.Error(), conflictCode) {
			return
		}
		clock.Sleep(ctx, resendPause)
	}
}

// countRefusal counts a refused command by verb and error code.
func (r *run) countRefusal(text string, err error) {
	if !errors.Is(err, fleet.ErrRefused) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.refusals == nil {
		r.refusals = make(map[string]int)
	}
	verb, _, _ := strings.Cut(text, " ")
	_, code, _ := strings.Cut(err.Error(), `"code":`)
	code, _, _ = strings.Cut(code, ",")
	r.refusals[verb+": "+strings.Trim(code, ` "`)]++
}

func (r *run) recordAccepted(a check.AcceptedCommand) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Commands = append(r.record.Commands, a)
}

// raceCommands sends two different commands under the same number at the same
// time, each of them twice.
func (r *run) raceCommands(ctx context.Context, number uint64) {
	var group sync.WaitGroup
	for i := range 2 {
		text := fmt.Sprintf("declare account raced%d digest %q tokens %d", number%racedAccountCount, fleet.Digest("raced"), i+1)
		group.Go(func() {
			for range 2 {
				r.sendCommand(ctx, racingOperator, raceNumberBase+number, text)
			}
		})
	}
	group.Wait()
}

// minEnginesPerRole is the number of serving engines that an operator leaves in
// each role: with one, a drain or a crash would end the service.
const minEnginesPerRole = 2

// assignRole moves an engine to its other role, as an operator would: only if
// enough engines keep the role that it leaves.
func (r *run) assignRole(ctx context.Context, engine string, number uint64) {
	for _, keeper := range r.fleet.Keepers() {
		callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
		reply, err := r.fleet.RunAt(callCtx, keeper, proto.RunRequest{Operator: plannerOperator, Text: "ask engines show name, role, phase"})
		cancel()
		if err != nil || len(reply.Tables) == 0 {
			continue
		}
		if role, ok := otherRole(reply.Tables[0].Rows, engine); ok {
			r.sendCommand(ctx, plannerOperator, number, fmt.Sprintf("assign engine %s role %s", engine, role))
		}
		return
	}
}

// otherRole returns the role to move an engine to, given the name, role and
// phase of each engine. It returns false if too few would keep its role.
func otherRole(engines [][]string, engine string) (state.Role, bool) {
	serving := make(map[state.Role]int)
	var from state.Role
	for _, e := range engines {
		name, role, phase := e[0], state.Role(e[1]), state.Phase(e[2])
		if name == engine {
			from = role
		} else if phase == state.PhaseServing {
			serving[role]++
		}
	}
	if from == "" || serving[from] < minEnginesPerRole {
		return "", false
	}
	if from == state.RoleDecode {
		return state.RolePrefill, true
	}
	return state.RoleDecode, true
}
