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
	statusOK   = 200
	chatWait   = 25 * time.Second
	tryWait    = 6 * time.Second
	chatPause  = 40 * time.Millisecond
	retryPause = 150 * time.Millisecond
	fewTokens  = 20
	moreTokens = 400
	longPrompt = 40 // words
	tries      = 12
	watchPause = 200 * time.Millisecond
)

// source returns the random numbers of one goroutine of the run.
func (r *run) source(kind, i int) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, uint64(kind)<<32|uint64(i)))
}

// Streams of random numbers.
const (
	streamChat = iota + 1
	streamFile
	streamOperate
)

func (r *run) chat(ctx context.Context, i int) {
	random := r.source(streamChat, i)
	c := caller.New(r.fleet.CallerToken())
	defer c.Close()
	book := &addresses{fleet: r.fleet}
	for n := 0; ctx.Err() == nil; n++ {
		p := book.pick(ctx, random)
		prompt := fmt.Sprintf("caller %d question %d", i, n)
		for range random.IntN(longPrompt) {
			prompt += " panel"
		}
		r.ask(ctx, c, p, caller.Chat{
			Service: service, Prompt: prompt, Tokens: fewTokens + random.IntN(moreTokens), Seed: int64(random.Uint32()),
		})
		clock.Sleep(ctx, chatPause)
	}
}

// ask streams one completion to its end, even when the time of the run ends.
func (r *run) ask(ctx context.Context, c *caller.Caller, p *fleet.Process, chat caller.Chat) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), chatWait)
	defer cancel()
	at := time.Now()
	a, err := c.Chat(ctx, p.URL(), chat)
	if a == nil {
		return
	}
	seen := check.Chat{
		Entry: p.Name(), At: at, End: time.Now(), Model: model, Prompt: chat.Prompt + "\n", Seed: chat.Seed,
		Want: chat.Tokens, Tokens: a.Tokens(), Whole: a.Whole() && a.Status() == statusOK && a.Code() == "",
		Told: a.Code() != "", Code: a.Code(), Note: fmt.Sprintf("status %d code %q error %v", a.Status(), a.Code(), err),
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Chats = append(r.record.Chats, seen)
}

// file makes run-once calls. It resends each, at any instance, until it is
// answered.
func (r *run) file(ctx context.Context, i int) {
	random := r.source(streamFile, i)
	c := caller.New(r.fleet.CallerToken())
	defer c.Close()
	book := &addresses{fleet: r.fleet}
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("permit-%d-%d", i, n)
		call := caller.Call{Service: permit, Path: "stamps", Key: key, Body: fmt.Sprintf(`{"key":%q}`, key)}
		f := check.Filing{Call: "caller/" + key}
		for range tries {
			p := book.pick(ctx, random)
			t := try(ctx, c, p, call)
			f.Tries = append(f.Tries, t)
			if t.Status == statusOK || ctx.Err() != nil {
				break
			}
			clock.Sleep(ctx, retryPause)
		}
		r.mutex.Lock()
		r.record.Filings = append(r.record.Filings, f)
		r.mutex.Unlock()
	}
}

func try(ctx context.Context, c *caller.Caller, p *fleet.Process, call caller.Call) check.Try {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tryWait)
	defer cancel()
	t := check.Try{Entry: p.Name(), At: time.Now()}
	a, err := c.Once(ctx, p.URL(), call)
	if err != nil || a == nil {
		t.Body = fmt.Sprint(err)
		return t
	}
	t.Status, t.Code, t.Ran, t.Body = a.Status(), a.Code(), a.Ran(), string(a.Body())
	return t
}

// watch notes which version an entry instance has in force.
func (r *run) watch(ctx context.Context, p *fleet.Process) {
	for ctx.Err() == nil {
		var status struct {
			Version uint64 `json:"version"`
		}
		r.mutex.Lock()
		life := r.lives[p.Name()]
		r.mutex.Unlock()
		one, cancel := context.WithTimeout(ctx, time.Second)
		err := r.fleet.Get(one, p.URL()+"/status", &status)
		cancel()
		r.mutex.Lock()
		if err == nil && life == r.lives[p.Name()] {
			s := check.Sight{Entry: p.Name(), Life: life, At: time.Now(), Version: status.Version}
			r.record.Sights = append(r.record.Sights, s)
		}
		r.mutex.Unlock()
		clock.Sleep(ctx, watchPause)
	}
}
