// Package config holds the settings of the stand-in backend servers.
package config

import (
	"errors"
	"fmt"
	"time"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/version/state"
)

// Settings are all stand-ins of one process.
type Settings struct {
	Control Control  `toml:"control"`
	Engines []Engine `toml:"engine"`
	Plains  []Plain  `toml:"plain"`
	List    List     `toml:"list"`
	Weights Weights  `toml:"weights"`
	Proxies []Proxy  `toml:"proxy"`
}

// Control is where faults and histories are served.
type Control struct {
	HTTP string `toml:"http"`
}

// Engine is one model engine.
type Engine struct {
	Name     string        `toml:"name"`
	Listen   string        `toml:"listen"`
	Model    string        `toml:"model"`
	Adapter  string        `toml:"adapter"`
	Revision string        `toml:"revision"`
	Role     state.Role    `toml:"role"`
	Fenced   bool          `toml:"fenced"`
	Prefill  float64       `toml:"prefill"` // prompt tokens a second
	Step     boot.Duration `toml:"step"`
	Slope    boot.Duration `toml:"slope"`
	Batch    int           `toml:"batch"`
	Memory   int           `toml:"memory"`   // tokens
	Cache    int           `toml:"cache"`    // tokens
	Transfer float64       `toml:"transfer"` // KV tokens a second
	Change   boot.Duration `toml:"change"`
	Load     boot.Duration `toml:"load"`
	Lag      boot.Duration `toml:"lag"`
	Loss     float64       `toml:"loss"` // share of cache events
	Seed     int64         `toml:"seed"`
	Mark     string        `toml:"mark"`
}

// Plain is one server of a plain service.
type Plain struct {
	Name    string        `toml:"name"`
	Listen  string        `toml:"listen"`
	Service string        `toml:"service"`
	Time    boot.Duration `toml:"time"`
}

// List is the platform's list of instances.
type List struct {
	Listen string        `toml:"listen"`
	Lag    boot.Duration `toml:"lag"`
}

// Weights is the weight store.
type Weights struct {
	Listen string  `toml:"listen"`
	Rate   float64 `toml:"rate"`  // bytes a second, all readers together
	Bytes  int64   `toml:"bytes"` // size of one model
}

// Proxy forwards one address to another and breaks on demand.
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
	modelBytes = 10_000_000
	weightRate = 100_000_000 // bytes a second
)

var (
	errEmpty  = errors.New("must be set")
	errRange  = errors.New("out of range")
	errTwice  = errors.New("used twice")
	errChoice = errors.New("not one of the allowed values")
)

// Check implements boot.Checker. It also fills in defaults that can't be set
// before tables of an array are read.
func (s *Settings) Check() (string, error) {
	if s.Control.HTTP == "" {
		return "control.http", errEmpty
	}
	fill(&s.Weights.Bytes, modelBytes)
	fill(&s.Weights.Rate, weightRate)
	fill(&s.List.Lag, boot.Duration(time.Second))
	if s.Weights.Rate < 0 {
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

func take(names map[string]bool, name string) error {
	if name == "" {
		return errEmpty
	}
	if names[name] {
		return fmt.Errorf("%q: %w", name, errTwice)
	}
	names[name] = true
	return nil
}

func fill[T comparable](v *T, fallback T) {
	var zero T
	if *v == zero {
		*v = fallback
	}
}

func (e *Engine) check(names map[string]bool) (string, error) {
	if err := take(names, e.Name); err != nil {
		return "name", err
	}
	if e.Listen == "" {
		return "listen", errEmpty
	}
	if e.Model == "" {
		return "model", errEmpty
	}
	e.defaults()
	switch e.Role {
	case state.RolePrefill, state.RoleDecode, state.RoleMixed:
	default:
		return "role", fmt.Errorf("%w: prefill, decode, mixed", errChoice)
	}
	if e.Prefill <= 0 || e.Transfer <= 0 || e.Batch <= 0 || e.Memory <= 0 || e.Step <= 0 {
		return "prefill", fmt.Errorf("%w: prefill, transfer, batch, memory and step above 0", errRange)
	}
	if e.Cache < 0 || e.Cache > e.Memory {
		return "cache", fmt.Errorf("%w: 0 to memory", errRange)
	}
	if e.Loss < 0 || e.Loss > 1 {
		return "loss", fmt.Errorf("%w: 0 to 1", errRange)
	}
	return "", nil
}

func (e *Engine) defaults() {
	fill(&e.Role, state.RoleMixed)
	fill(&e.Revision, "1")
	fill(&e.Prefill, 20000)
	fill(&e.Step, boot.Duration(10*time.Millisecond))
	fill(&e.Slope, boot.Duration(200*time.Microsecond))
	fill(&e.Batch, 64)
	fill(&e.Memory, 400000)
	fill(&e.Cache, e.Memory/2)
	fill(&e.Transfer, 2000000)
	fill(&e.Change, boot.Duration(3*time.Second))
	fill(&e.Load, boot.Duration(3*time.Second))
	fill(&e.Lag, boot.Duration(100*time.Millisecond))
	fill(&e.Seed, 1)
}

func (p *Plain) check(names map[string]bool) (string, error) {
	if err := take(names, p.Name); err != nil {
		return "name", err
	}
	if p.Listen == "" {
		return "listen", errEmpty
	}
	fill(&p.Time, boot.Duration(20*time.Millisecond))
	return "", nil
}

func (p *Proxy) check(names map[string]bool) (string, error) {
	if err := take(names, p.Name); err != nil {
		return "name", err
	}
	if p.Listen == "" || p.Target == "" {
		return "listen", fmt.Errorf("listen and target: %w", errEmpty)
	}
	fill(&p.Kind, ProxyTCP)
	fill(&p.Seed, 1)
	if p.Kind != ProxyTCP && p.Kind != ProxyUDP {
		return "kind", fmt.Errorf("%w: tcp, udp", errChoice)
	}
	return "", nil
}
