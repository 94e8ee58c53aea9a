// Package setup holds the settings of an entry instance.
package setup

import (
	"errors"
	"fmt"
	"time"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/request/route"
)

// Settings are all settings of an entry instance.
type Settings struct {
	Name     string            `toml:"name"`
	Centre   string            `toml:"centre"`
	Listen   Listen            `toml:"listen"`
	Keys     keys.Files        `toml:"keys"`
	Keepers  map[string]string `toml:"keepers"`
	Address  Address           `toml:"address"`
	Body     Body              `toml:"body"`
	Route    Route             `toml:"route"`
	Retry    Retry             `toml:"retry"`
	Strike   Strike            `toml:"strike"`
	Stop     Stop              `toml:"stop"`
	Platform Platform          `toml:"platform"`
}

// Listen names the addresses of the instance.
type Listen struct {
	HTTP string `toml:"http"`
	Link string `toml:"link"`
}

// Address shapes the answers that tell callers which instances to use.
type Address struct {
	Life  boot.Duration `toml:"life"`
	Count int           `toml:"count"`
}

// Body bounds what callers send.
type Body struct {
	Bytes  int64         `toml:"bytes"`
	Header int           `toml:"header"`
	Read   boot.Duration `toml:"read"`
}

// Route shapes the choice of engines and the spread of the state.
type Route struct {
	Policy route.Policy  `toml:"policy"`
	Report boot.Duration `toml:"report"`
	Polls  int           `toml:"polls"`
	Stale  boot.Duration `toml:"stale"`
	Fanout int           `toml:"fanout"`
}

// Retry bounds further attempts.
type Retry struct {
	Share   float64       `toml:"share"`
	Backoff boot.Duration `toml:"backoff"`
	Silence boot.Duration `toml:"silence"`
}

// Strike bounds what one request may cost.
type Strike struct {
	Limit int `toml:"limit"`
}

// Stop shapes a graceful shutdown.
type Stop struct {
	Grace boot.Duration `toml:"grace"`
}

// Platform names what the platform offers.
type Platform struct {
	List string `toml:"list"`
}

// Defaults returns the settings of an empty file.
func Defaults() *Settings {
	return &Settings{
		Address: Address{Life: boot.Duration(5 * time.Second), Count: 4},
		Body:    Body{Bytes: 8 << 20, Header: 64 << 10, Read: boot.Duration(10 * time.Second)},
		Route: Route{
			Policy: route.PolicyCache,
			Report: boot.Duration(200 * time.Millisecond),
			Polls:  30,
			Stale:  boot.Duration(10 * time.Second),
			Fanout: 4,
		},
		Retry: Retry{
			Share:   0.1,
			Backoff: boot.Duration(50 * time.Millisecond),
			Silence: boot.Duration(2 * time.Second),
		},
		Strike: Strike{Limit: 2},
		Stop:   Stop{Grace: boot.Duration(30 * time.Second)},
	}
}

var (
	errEmpty = errors.New("must be set")
	errRange = errors.New("out of range")
)

type check struct {
	key string
	err error
}

// Check implements boot.Checker.
func (s *Settings) Check() (string, error) {
	checks := []check{
		text("name", s.Name),
		text("centre", s.Centre),
		text("listen.http", s.Listen.HTTP),
		text("listen.link", s.Listen.Link),
		text("keys.authority", s.Keys.Authority),
		text("keys.cert", s.Keys.Cert),
		text("keys.key", s.Keys.Key),
		filled("keepers", len(s.Keepers)),
		span("address.life", s.Address.Life, 100*time.Millisecond, time.Hour),
		between("address.count", s.Address.Count, 1, 64),
		between("body.bytes", s.Body.Bytes, 1<<10, 1<<30),
		between("body.header", s.Body.Header, 1<<10, 1<<20),
		span("body.read", s.Body.Read, 100*time.Millisecond, 10*time.Minute),
		policy("route.policy", s.Route.Policy),
		span("route.report", s.Route.Report, 10*time.Millisecond, time.Minute),
		between("route.polls", s.Route.Polls, 1, 10000),
		span("route.stale", s.Route.Stale, 100*time.Millisecond, time.Hour),
		between("route.fanout", s.Route.Fanout, 1, 64),
		between("retry.share", s.Retry.Share, 0, 1),
		span("retry.backoff", s.Retry.Backoff, time.Millisecond, 10*time.Second),
		span("retry.silence", s.Retry.Silence, 50*time.Millisecond, time.Minute),
		between("strike.limit", s.Strike.Limit, 1, 10),
		span("stop.grace", s.Stop.Grace, 0, time.Hour),
	}
	for _, c := range checks {
		if c.err != nil {
			return c.key, c.err
		}
	}
	return "", nil
}

func text(key, value string) check {
	if value == "" {
		return check{key, errEmpty}
	}
	return check{}
}

func filled(key string, n int) check {
	if n == 0 {
		return check{key, errEmpty}
	}
	return check{}
}

func span(key string, d boot.Duration, low, high time.Duration) check {
	v := time.Duration(d)
	if v < low || v > high {
		return check{key, fmt.Errorf("%w: %v, allowed are %v to %v", errRange, v, low, high)}
	}
	return check{}
}

func between[T int | int64 | float64](key string, v, low, high T) check {
	if v < low || v > high || v != v { //nolint:gocritic,staticcheck // NaN is out of range
		return check{key, fmt.Errorf("%w: %v, allowed are %v to %v", errRange, v, low, high)}
	}
	return check{}
}

func policy(key string, p route.Policy) check {
	if p != route.PolicyCache && p != route.PolicyLoad {
		return check{key, fmt.Errorf("%w: %q, allowed are %q and %q", errRange, p, route.PolicyCache, route.PolicyLoad)}
	}
	return check{}
}
