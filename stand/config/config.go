// Package config defines the settings of the simulated backend servers, with
// their checks and defaults.
package config

import (
	"errors"
	"fmt"
	"time"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/version/state"
)

// Settings configures all simulated servers of one process.
type Settings struct {
	Control Control  `toml:"control"`
	Engines []Engine `toml:"engine"`
	Plains  []Plain  `toml:"plain"`
	List    List     `toml:"list"`
	Weights Weights  `toml:"weights"`
	Proxies []Proxy  `toml:"proxy"`
}

// Control is the address of the API for fault injection and records.
type Control struct {
	HTTP string `toml:"http"`
}

// Engine configures a simulated model engine.
type Engine struct {
	Name          string        `toml:"name"`
	Listen        string        `toml:"listen"`
	Model         string        `toml:"model"`
	Adapter       string        `toml:"adapter"`
	Revision      string        `toml:"revision"`
	Role          state.Role    `toml:"role"`
	Fenced        bool          `toml:"fenced"`   // refuses outdated orders, and new ones during a change
	PrefillRate   float64       `toml:"prefill"`  // prompt tokens per second
	Step          boot.Duration `toml:"step"`     // time between tokens with one stream
	StepPerStream boot.Duration `toml:"slope"`    // added to step for each further stream
	MaxBatch      int           `toml:"batch"`    // largest number of running jobs
	KVTokens      int           `toml:"memory"`   // KV memory, tokens
	CacheTokens   int           `toml:"cache"`    // prefix cache, tokens of the KV memory
	TransferRate  float64       `toml:"transfer"` // KV tokens per second, fetched from another engine
	ChangeTime    boot.Duration `toml:"change"`   // downtime of a role change
	LoadTime      boot.Duration `toml:"load"`     // downtime while a model, adapter or revision is loaded
	ReportLag     boot.Duration `toml:"lag"`      // age of load reports and cache events
	EventLoss     float64       `toml:"loss"`     // share of cache events lost, 0 to 1
	Seed          int64         `toml:"seed"`
	CrashMark     string        `toml:"mark"` // a prompt with this text crashes the engine; empty for none
}

// Plain configures a simulated server of a plain HTTP service.
type Plain struct {
	Name        string        `toml:"name"`
	Listen      string        `toml:"listen"`
	Service     string        `toml:"service"`
	ServiceTime boot.Duration `toml:"time"` // duration of a call
}

// List configures the platform's service discovery list.
type List struct {
	Listen string        `toml:"listen"`
	Lag    boot.Duration `toml:"lag"` // delay before a change becomes visible
}

// Weights configures the weight store.
type Weights struct {
	Listen         string  `toml:"listen"`
	BytesPerSecond float64 `toml:"rate"`  // shared by all readers
	ModelBytes     int64   `toml:"bytes"` // size of one model
}

// Proxy configures a proxy that injects network faults.
type Proxy struct {
	Name   string `toml:"name"`
	Kind   string `toml:"kind"`
	Listen string `toml:"listen"`
	Target string `toml:"target"`
	Seed   int64  `toml:"seed"`
}

// Kinds of proxy.
const (
	ProxyTCP = "tcp"
	ProxyUDP = "udp"
)

const (
	defaultModelBytes = 10_000_000
	defaultWeightRate = 100_000_000 // bytes per second
)

var (
	errMissing    = errors.New("must be set")
	errRange      = errors.New("out of range")
	errDuplicate  = errors.New("used twice")
	errNotAllowed = errors.New("not one of the allowed values")
)

// Check implements boot.Checker. It also sets defaults, because those of array
// tables can't be set before the tables are read.
func (s *Settings) Check() (string, error) {
	if s.Control.HTTP == "" {
		return "control.http", errMissing
	}
	setDefault(&s.Weights.ModelBytes, defaultModelBytes)
	setDefault(&s.Weights.BytesPerSecond, defaultWeightRate)
	setDefault(&s.List.Lag, boot.Duration(time.Second))
	if s.Weights.BytesPerSecond < 0 {
		return "weights.rate", fmt.Errorf("%w: above 0", errRange)
	}
	names := make(map[string]bool)
	for i := range s.Engines {
		if key, err := s.Engines[i].check(names); err != nil {
			return "engine." + key, err
		}
	}
	for i := range s.Plains {
		if key, err := s.Plains[i].check(names); err != nil {
			return "plain." + key, err
		}
	}
	for i := range s.Proxies {
		if key, err := s.Proxies[i].check(names); err != nil {
			return "proxy." + key, err
		}
	}
	return "", nil
}

// claimName adds a name or returns an error if it is empty or taken. Engines,
// plain servers and proxies share the names, which are the targets of faults.
func claimName(names map[string]bool, name string) error {
	if name == "" {
		return errMissing
	}
	if names[name] {
		return fmt.Errorf("%q: %w", name, errDuplicate)
	}
	names[name] = true
	return nil
}

// setDefault sets v to fallback if it has the zero value.
func setDefault[T comparable](v *T, fallback T) {
	var zero T
	if *v == zero {
		*v = fallback
	}
}

func (e *Engine) check(names map[string]bool) (string, error) {
	if err := claimName(names, e.Name); err != nil {
		return "name", err
	}
	if e.Listen == "" {
		return "listen", errMissing
	}
	if e.Model == "" {
		return "model", errMissing
	}
	e.setDefaults()
	switch e.Role {
	case state.RolePrefill, state.RoleDecode, state.RoleMixed:
	default:
		return "role", fmt.Errorf("%w: prefill, decode, mixed", errNotAllowed)
	}
	if e.PrefillRate <= 0 || e.TransferRate <= 0 || e.MaxBatch <= 0 || e.KVTokens <= 0 || e.Step <= 0 {
		return "prefill", fmt.Errorf("%w: prefill, transfer, batch, memory and step above 0", errRange)
	}
	if e.CacheTokens < 0 || e.CacheTokens > e.KVTokens {
		return "cache", fmt.Errorf("%w: 0 to memory", errRange)
	}
	if e.EventLoss < 0 || e.EventLoss > 1 {
		return "loss", fmt.Errorf("%w: 0 to 1", errRange)
	}
	return "", nil
}

func (e *Engine) setDefaults() {
	setDefault(&e.Role, state.RoleMixed)
	setDefault(&e.Revision, "1")
	setDefault(&e.PrefillRate, 20000)
	setDefault(&e.Step, boot.Duration(10*time.Millisecond))
	setDefault(&e.StepPerStream, boot.Duration(200*time.Microsecond))
	setDefault(&e.MaxBatch, 64)
	setDefault(&e.KVTokens, 400000)
	setDefault(&e.CacheTokens, e.KVTokens/2)
	setDefault(&e.TransferRate, 2000000)
	setDefault(&e.ChangeTime, boot.Duration(3*time.Second))
	setDefault(&e.LoadTime, boot.Duration(3*time.Second))
	setDefault(&e.ReportLag, boot.Duration(100*time.Millisecond))
	setDefault(&e.Seed, 1)
}

func (p *Plain) check(names map[string]bool) (string, error) {
	if err := claimName(names, p.Name); err != nil {
		return "name", err
	}
	if p.Listen == "" {
		return "listen", errMissing
	}
	setDefault(&p.ServiceTime, boot.Duration(20*time.Millisecond))
	return "", nil
}

func (p *Proxy) check(names map[string]bool) (string, error) {
	if err := claimName(names, p.Name); err != nil {
		return "name", err
	}
	if p.Listen == "" || p.Target == "" {
		return "listen", fmt.Errorf("listen and target: %w", errMissing)
	}
	setDefault(&p.Kind, ProxyTCP)
	setDefault(&p.Seed, 1)
	if p.Kind != ProxyTCP && p.Kind != ProxyUDP {
		return "kind", fmt.Errorf("%w: tcp, udp", errNotAllowed)
	}
	return "", nil
}
