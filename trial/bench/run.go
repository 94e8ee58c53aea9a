package bench

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/demand"
	"verbenahaven.example/trial/fleet"
	"verbenahaven.example/trial/score"
)

// Result is the result of one run.
type Result struct {
	Deployment     Deployment
	Policy         Policy
	Seed           int64
	Outcomes       *score.Collector
	Changes        []Change
	Counters       map[string]int64 // metrics summed over entry instances and keepers
	Decisions      [][]string       // planner decisions, as an operator sees them
	OrderConflicts int
	CutByOrder     int // streams that engines aborted because of an order
}

// Change is one role change that an engine completed.
type Change struct {
	At      time.Duration
	Segment int
	Engine  string
	Role    string
}

const (
	// withdrawDivisor gives the part of a segment after which the engine is
	// withdrawn: 2 means after half of the segment.
	withdrawDivisor = 2
	callTimeout     = 15 * time.Second
	settleTime      = time.Second
	stopTimeout     = 20 * time.Second
)

// runner is the state of one run.
type runner struct {
	deployment Deployment
	fleet      *fleet.Fleet
	caller     *caller.Caller
	outcomes   *score.Collector
	urls       []string
	start      time.Time
	group      sync.WaitGroup
}

// Run starts the deployment, sends the arrivals and collects the results.
func Run(ctx context.Context, d Deployment, p Policy, seed int64, bin string) (*Result, error) {
	folder, err := os.MkdirTemp("", "verbenahaven-trial-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f, cleanup, err := fleet.Start(ctx, fleetOptions(d, p, bin, folder))
	if err != nil {
		return nil, fmt.Errorf("start %s under %s: %w", d.Name, p.Name, err)
	}
	defer cleanup()
	r := &runner{
		deployment: d, fleet: f, caller: caller.New(f.CallerToken()),
		outcomes: score.NewCollector(len(d.Segments), len(d.Services)),
	}
	defer r.caller.Close()
	for _, e := range f.Entries() {
		r.urls = append(r.urls, e.URL())
	}
	time.Sleep(settleTime)
	r.sendArrivals(ctx, demand.Generate(d.Services, d.Segments, seed))
	result := &Result{Deployment: d, Policy: p, Seed: seed, Outcomes: r.outcomes}
	if err := r.collect(ctx, result); err != nil {
		return nil, err
	}
	return result, nil
}

// sendArrivals sends each request at its time, without waiting for earlier ones
// (open-loop load).
func (r *runner) sendArrivals(ctx context.Context, arrivals []demand.Arrival) {
	r.start = time.Now()
	r.group.Go(func() { r.runEvents(ctx) })
	for _, a := range arrivals {
		if !sleep(ctx, time.Until(r.start.Add(a.At))) {
			break
		}
		r.group.Go(func() { r.sendRequest(ctx, a) })
	}
	r.group.Wait()
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runEvents delays the load reports and withdraws an engine in the segments
// planned for it.
func (r *runner) runEvents(ctx context.Context) {
	d := r.deployment
	at := time.Duration(0)
	for i, s := range d.Segments {
		if !sleep(ctx, time.Until(r.start.Add(at))) {
			return
		}
		switch i {
		case d.LagSegment:
			r.setReportLag(ctx, reportLag*lagFactor)
		case d.LagSegment + 1:
			r.setReportLag(ctx, reportLag)
		case d.WithdrawSegment:
			sleep(ctx, s.Length/withdrawDivisor)
			_, _ = r.fleet.Run(ctx, "withdraw engine "+engineName(d.Engines-1)+"\n")
		}
		at += s.Length
	}
}

func (r *runner) setReportLag(ctx context.Context, v time.Duration) {
	if r.deployment.LagSegment < 0 {
		return
	}
	for i := range r.deployment.Engines {
		_ = r.fleet.InjectFault(ctx, fleet.Fault{Target: engineName(i), Kind: string(inject.ReportLag), Value: v.String()})
	}
}

func (r *runner) sendRequest(ctx context.Context, a demand.Arrival) {
	sendDelay := time.Since(r.start.Add(a.At))
	v := r.deployment.Services[a.Service]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := r.urls[a.Serial%len(r.urls)]
	o := score.Outcome{Segment: a.Segment, Service: a.Service, SendDelay: sendDelay}
	if v.Plain {
		r.callPlain(ctx, url, v, a, &o)
	} else {
		r.streamChat(ctx, url, v, a, &o)
	}
	r.outcomes.Add(o)
}

func (r *runner) callPlain(ctx context.Context, url string, v demand.Service, a demand.Arrival, o *score.Outcome) {
	key := fmt.Sprintf("%d-%d", a.Seed, a.Serial)
	got, err := r.caller.CallPlain(ctx, url, caller.PlainCall{Service: v.Name, Path: "file", Key: key, Body: `{"number":"` + key + `"}`})
	if err != nil || got == nil {
		o.Code = "broken"
		return
	}
	o.Latency, o.Code, o.RetryAfter = got.Latency(), got.Code(), got.RetryAfter()
	o.Complete = got.Status() == 200
	o.InTime = o.Complete && got.Latency() <= v.Deadline
}

func (r *runner) streamChat(ctx context.Context, url string, v demand.Service, a demand.Arrival, o *score.Outcome) {
	prompt := demand.Prompt(v, a)
	got, err := r.caller.Chat(ctx, url, caller.Chat{Service: v.Name, Prompt: prompt, Tokens: v.OutputTokens, Seed: a.Seed})
	if got == nil {
		o.Code = "broken"
		return
	}
	o.Latency, o.Code, o.RetryAfter = got.Latency(), got.Code(), got.RetryAfter()
	o.Tokens, o.TTFT = len(got.Tokens()), got.TTFT()
	arrivals := got.Arrivals()
	for i := 1; i < len(arrivals); i++ {
		o.TokenGaps = append(o.TokenGaps, arrivals[i].Sub(arrivals[i-1]))
	}
	base := inject.AnswerHash(modelName, prompt+"\n", a.Seed)
	for i, token := range got.Tokens() {
		o.ForeignTokens = o.ForeignTokens || got.Positions()[i] != i || strings.TrimSpace(token) != strings.TrimSpace(inject.TokenFromHash(base, i))
	}
	o.Complete = err == nil && got.Complete() && !o.ForeignTokens && o.Tokens == v.OutputTokens
	o.Truncated = !o.Complete && o.Tokens > 0
	if !o.Complete && o.Code == "" {
		o.Code = "broken"
	}
	o.InTime = o.Complete && o.TTFT <= v.TTFTLimit && o.Latency <= v.Deadline
}
