package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"verbenahaven.example/core/conn/proto"
)

const (
	pollInterval = 20 * time.Millisecond
	// minAddresses is the number of addresses that an instance must return to
	// count as ready: an instance that knows of another one has joined.
	minAddresses = 2
)

// ErrRefused is returned if a process answered with a status other than 200, or
// if a fault names an unknown target.
var ErrRefused = errors.New("refused")

// Run sends operator commands under a new number to the first keeper that
// accepts them.
func (f *Fleet) Run(ctx context.Context, text string) (proto.RunReply, error) {
	f.lastNumber++
	return f.RunAs(ctx, proto.RunRequest{Operator: operatorAccount, Number: f.lastNumber, Text: text})
}

// RunAs sends an unchanged request to the first running keeper that accepts it.
func (f *Fleet) RunAs(ctx context.Context, r proto.RunRequest) (proto.RunReply, error) {
	var errs []error
	for _, p := range f.keepers {
		if !p.Running() {
			continue
		}
		reply, err := f.RunAt(ctx, p, r)
		if err == nil {
			return reply, nil
		}
		errs = append(errs, err)
	}
	return proto.RunReply{}, errors.Join(errs...)
}

// RunAt sends a request to one keeper.
func (f *Fleet) RunAt(ctx context.Context, p *Process, r proto.RunRequest) (proto.RunReply, error) {
	var reply proto.RunReply
	err := f.post(ctx, p.url+"/run", f.operatorTokens[r.Operator], r, &reply)
	if err != nil {
		return reply, fmt.Errorf("run at %s: %w", p.name, err)
	}
	return reply, nil
}

// Get reads JSON from a URL.
func (f *Fleet) Get(ctx context.Context, url string, out any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+f.callerToken)
	return f.do(r, out)
}

func (f *Fleet) post(ctx context.Context, url, token string, body, out any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+token)
	return f.do(r, out)
}

func (f *Fleet) do(r *http.Request, out any) error {
	response, err := f.client.Do(r)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d %s: %w", r.Method, r.URL, response.StatusCode, strings.TrimSpace(string(b)), ErrRefused)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", r.URL, err)
	}
	return nil
}

// Fault is a fault to inject into a simulated server or a proxy.
type Fault struct {
	Target string `json:"target"`
	Kind   string `json:"kind"`
	Value  string `json:"value,omitempty"`
	Count  int    `json:"count,omitempty"`
}

// InjectFault injects a fault into the simulated server or proxy that it names.
func (f *Fleet) InjectFault(ctx context.Context, fault Fault) error {
	control, ok := f.controlURLs[fault.Target]
	if !ok {
		return fmt.Errorf("no target %q: %w", fault.Target, ErrRefused)
	}
	return f.post(ctx, control+"/fault", f.operatorToken, fault, nil)
}

// SetPartition partitions an instance from all keepers, or heals the partition:
// kind is cut, cut_up, cut_down or heal. Up is the direction from the instance
// to the keepers.
func (f *Fleet) SetPartition(ctx context.Context, name, kind string) error {
	for target := range f.controlURLs {
		from, to, ok := strings.Cut(strings.TrimPrefix(target, "link-"), "-")
		if !ok || !strings.HasPrefix(target, "link-") || (from != name && to != name) {
			continue
		}
		k := kind
		if to == name {
			k = reverseDirection(kind)
		}
		if err := f.InjectFault(ctx, Fault{Target: target, Kind: k}); err != nil {
			return fmt.Errorf("set partition on %s: %w", target, err)
		}
	}
	return nil
}

func reverseDirection(kind string) string {
	switch kind {
	case "cut_up":
		return "cut_down"
	case "cut_down":
		return "cut_up"
	default:
		return kind
	}
}

// History decodes the history that a simulated server recorded into out.
func (f *Fleet) History(ctx context.Context, target string, out any) error {
	return f.Get(ctx, f.controlURLs[target]+"/history?target="+target, out)
}

// Wait polls until ready returns nil or the limit is over.
func Wait(ctx context.Context, limit time.Duration, ready func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := ready()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("%w: %w", ErrNotReady, err)
		}
		time.Sleep(pollInterval)
	}
}

// declareFleet declares the accounts, models, engines, services and plain
// servers of the deployment.
func (f *Fleet) declareFleet(ctx context.Context) error {
	var text strings.Builder
	fmt.Fprintf(&text, "declare account caller digest %q\n", Digest(f.callerToken))
	for _, name := range f.options.Operators {
		fmt.Fprintf(&text, "declare account %s digest %q operator true\n", name, Digest(f.operatorTokens[name]))
	}
	models := make(map[string]bool)
	for _, e := range f.options.Engines {
		if !models[e.Model] {
			models[e.Model] = true
			fmt.Fprintf(&text, "declare model %s revision 1\n", e.Model)
		}
	}
	for _, e := range f.options.Engines {
		fmt.Fprintf(&text, "declare engine %s url %q centre %s role %s model %s revision 1 fenced %t\n",
			e.Name, f.BackendURL(e.Name), e.Centre, e.Role, e.Model, e.Fenced)
	}
	text.WriteString(f.options.Commands + "\n")
	for _, p := range f.options.PlainServers {
		fmt.Fprintf(&text, "declare server %s url %q centre %s service %s\n", p.Name, f.BackendURL(p.Name), p.Centre, p.Service)
	}
	f.lastNumber++
	r := proto.RunRequest{Operator: operatorAccount, Number: f.lastNumber, Text: text.String()}
	return Wait(ctx, readyTimeout, func() error {
		_, err := f.RunAs(ctx, r)
		return err
	})
}

// waitEntries waits until each entry instance serves what was declared.
func (f *Fleet) waitEntries(ctx context.Context) error {
	for _, p := range f.entries {
		if err := Wait(ctx, readyTimeout, func() error { return f.checkServing(ctx, p) }); err != nil {
			return fmt.Errorf("wait for %s: %w", p.name, err)
		}
	}
	return nil
}

// checkServing returns an error unless an entry instance lists a model, if the
// deployment has engines, and returns enough addresses.
func (f *Fleet) checkServing(ctx context.Context, p *Process) error {
	var models struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := f.Get(ctx, p.url+"/v1/models", &models); err != nil {
		return err
	}
	if len(models.Data) == 0 && len(f.options.Engines) > 0 {
		return fmt.Errorf("%s lists no model: %w", p.name, ErrNotReady)
	}
	addresses, err := f.Addresses(ctx, p)
	if err != nil {
		return err
	}
	if want := min(len(f.entries), minAddresses); len(addresses) < want {
		return fmt.Errorf("%s gives %d addresses, want %d: %w", p.name, len(addresses), want, ErrNotReady)
	}
	return nil
}

// Addresses asks an entry instance which addresses callers should use.
func (f *Fleet) Addresses(ctx context.Context, p *Process) ([]string, error) {
	var answer struct {
		Addresses []struct {
			URL string `json:"url"`
		} `json:"addresses"`
	}
	if err := f.Get(ctx, p.url+"/address", &answer); err != nil {
		return nil, fmt.Errorf("ask %s for addresses: %w", p.name, err)
	}
	urls := make([]string, 0, len(answer.Addresses))
	for _, a := range answer.Addresses {
		urls = append(urls, a.URL)
	}
	return urls, nil
}

// CheckVersion returns an error if the current version of an entry instance is
// older than version.
func (f *Fleet) CheckVersion(ctx context.Context, p *Process, version uint64) error {
	var status struct {
		Version uint64 `json:"version"`
	}
	if err := f.Get(ctx, p.url+"/status", &status); err != nil {
		return fmt.Errorf("status of %s: %w", p.name, err)
	}
	if status.Version < version {
		return fmt.Errorf("%s has version %d, want %d: %w", p.name, status.Version, version, ErrNotReady)
	}
	return nil
}

// AddOperator declares one more operator account.
func (f *Fleet) AddOperator(ctx context.Context, name string) error {
	token := newToken()
	if _, err := f.Run(ctx, fmt.Sprintf("declare account %s digest %q operator true", name, Digest(token))); err != nil {
		return fmt.Errorf("declare operator: %w", err)
	}
	f.operatorTokens[name] = token
	return nil
}
