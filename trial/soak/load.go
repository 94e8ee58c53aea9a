package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/check"
	"verbenahaven.example/trial/fleet"
)

const (
	statusOK           = 200
	chatTimeout        = 25 * time.Second
	attemptTimeout     = 6 * time.Second
	chatPause          = 40 * time.Millisecond
	retryPause         = 150 * time.Millisecond
	minTokens          = 20
	extraTokens        = 400
	maxPromptWords     = 40
	maxAttempts        = 12
	statusPollInterval = 200 * time.Millisecond
)

// newRand returns the random number generator of one goroutine of the run.
func (r *run) newRand(kind, i int) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, uint64(kind)<<32|uint64(i)))
}

// Kinds of random number streams, so that goroutines of different kinds draw
// independent numbers.
const (
	randChat = iota + 1
	randOnce
	randOperator
)

func (r *run) runChatCaller(ctx context.Context, i int) {
	random := r.newRand(randChat, i)
	c := caller.New(r.fleet.CallerToken())
	defer c.Close()
	book := &addressBook{fleet: r.fleet}
	for n := 0; ctx.Err() == nil; n++ {
		p := book.pick(ctx, random)
		prompt := fmt.Sprintf("caller %d question %d", i, n)
		for range random.IntN(maxPromptWords) {
			prompt += " panel"
		}
		r.completeChat(ctx, c, p, caller.Chat{
			Service: modelService, Prompt: prompt, Tokens: minTokens + random.IntN(extraTokens), Seed: int64(random.Uint32()),
		})
		clock.Sleep(ctx, chatPause)
	}
}

// completeChat reads one streamed completion to its end, even when the run ends
// before, and records it.
func (r *run) completeChat(ctx context.Context, c *caller.Caller, p *fleet.Process, chat caller.Chat) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), chatTimeout)
	defer cancel()
	at := time.Now()
	a, err := c.Chat(ctx, p.URL(), chat)
	if a == nil {
		return
	}
	seen := check.Chat{
		Entry: p.Name(), At: at, End: time.Now(), Model: modelName, Prompt: chat.Prompt + "\n", Seed: chat.Seed,
		Want: chat.Tokens, Tokens: a.Tokens(), Complete: a.Complete() && a.Status() == statusOK && a.Code() == "",
		ErrorReported: a.Code() != "", Code: a.Code(), Note: fmt.Sprintf("status %d code %q error %v", a.Status(), a.Code(), err),
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Chats = append(r.record.Chats, seen)
}

// runOnceCaller makes run-once calls. It resends each call, at any instance,
// until it is answered or maxAttempts were made.
func (r *run) runOnceCaller(ctx context.Context, i int) {
	random := r.newRand(randOnce, i)
	c := caller.New(r.fleet.CallerToken())
	defer c.Close()
	book := &addressBook{fleet: r.fleet}
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("permit-%d-%d", i, n)
		call := caller.PlainCall{Service: plainService, Path: "stamps", Key: key, Body: fmt.Sprintf(`{"key":%q}`, key)}
		once := check.OnceCall{CallID: "caller/" + key}
		for range maxAttempts {
			p := book.pick(ctx, random)
			t := attemptCall(ctx, c, p, call)
			once.Attempts = append(once.Attempts, t)
			if t.Status == statusOK || ctx.Err() != nil {
				break
			}
			clock.Sleep(ctx, retryPause)
		}
		r.mutex.Lock()
		r.record.OnceCalls = append(r.record.OnceCalls, once)
		r.mutex.Unlock()
	}
}

func attemptCall(ctx context.Context, c *caller.Caller, p *fleet.Process, call caller.PlainCall) check.Attempt {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
	defer cancel()
	t := check.Attempt{Entry: p.Name(), At: time.Now()}
	a, err := c.CallPlain(ctx, p.URL(), call)
	if err != nil || a == nil {
		t.Body = fmt.Sprint(err)
		return t
	}
	t.Status, t.Code, t.Execution, t.Body = a.Status(), a.Code(), a.Execution(), string(a.Body())
	return t
}

// watchVersion polls and records the current version of the configuration on an
// entry instance.
func (r *run) watchVersion(ctx context.Context, p *fleet.Process) {
	for ctx.Err() == nil {
		var status struct {
			Version uint64 `json:"version"`
		}
		r.mutex.Lock()
		restarts := r.restarts[p.Name()]
		r.mutex.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := r.fleet.Get(callCtx, p.URL()+"/status", &status)
		cancel()
		r.mutex.Lock()
		if err == nil && restarts == r.restarts[p.Name()] {
			reading := check.VersionReading{Entry: p.Name(), Restarts: restarts, At: time.Now(), Version: status.Version}
			r.record.Readings = append(r.record.Readings, reading)
		}
		r.mutex.Unlock()
		clock.Sleep(ctx, statusPollInterval)
	}
}
