// Package setup defines the settings file of an entry instance, its defaults and
// its validation.
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
	Memory   Memory            `toml:"memory"`
	Platform Platform          `toml:"platform"`
}

// Listen holds the addresses to listen on: HTTP for callers, Link for other
// instances.
type Listen struct {
	HTTP string `toml:"http"`
	Link string `toml:"link"`
}

// Address configures the answers that list instances for callers: how long they
// may be cached and how many addresses they hold.
type Address struct {
	Life  boot.Duration `toml:"life"`
	Count int           `toml:"count"`
}

// Body limits the requests of callers: the sizes of body and header in bytes,
// and the time for reading each of them.
type Body struct {
	Bytes  int64         `toml:"bytes"`
	Header int           `toml:"header"`
	Read   boot.Duration `toml:"read"`
}

// Route configures the selection of engines and the distribution of the state:
// the period of polls for load reports and their maximum per second over all
// engines, the age from which the state counts as stale, and the maximum
// children of an instance in the distribution tree.
type Route struct {
	Policy route.Policy  `toml:"policy"`
	Report boot.Duration `toml:"report"`
	Polls  int           `toml:"polls"`
	Stale  boot.Duration `toml:"stale"`
	Fanout int           `toml:"fanout"`
}

// Retry configures retries: their share of the requests, the backoff, and the
// silence after which a server counts as stalled.
type Retry struct {
	Share   float64       `toml:"share"`
	Backoff boot.Duration `toml:"backoff"`
	Silence boot.Duration `toml:"silence"`
}

// Strike limits how many engines may be lost while running one request, before
// it is refused.
type Strike struct {
	Limit int `toml:"limit"`
}

// Stop configures the graceful shutdown.
type Stop struct {
	Grace boot.Duration `toml:"grace"`
}

// Memory holds the bytes of memory that the process may use, 0 for those of the machine.
type Memory struct {
	Bytes int64 `toml:"bytes"`
}

// Platform holds the URL of the platform's service discovery list.
type Platform struct {
	List string `toml:"list"`
}

// Defaults returns the settings that apply to keys that a file doesn't set.
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
	errNotSet = errors.New("must be set")
	errRange  = errors.New("out of range")
)

type checkResult struct {
	key string
	err error
}

// Check implements boot.Checker.
func (s *Settings) Check() (string, error) {
	checks := []checkResult{
		requireText("name", s.Name),
		requireText("centre", s.Centre),
		requireText("listen.http", s.Listen.HTTP),
		requireText("listen.link", s.Listen.Link),
		requireText("keys.authority", s.Keys.Authority),
		requireText("keys.cert", s.Keys.Cert),
		requireText("keys.key", s.Keys.Key),
		requireEntries("keepers", len(s.Keepers)),
		requireDuration("address.life", s.Address.Life, 100*time.Millisecond, time.Hour),
		requireNumber("address.count", s.Address.Count, 1, 64),
		requireNumber("body.bytes", s.Body.Bytes, 1<<10, 1<<30),
		requireNumber("body.header", s.Body.Header, 1<<10, 1<<20),
		requireDuration("body.read", s.Body.Read, 100*time.Millisecond, 10*time.Minute),
		requirePolicy("route.policy", s.Route.Policy),
		requireDuration("route.report", s.Route.Report, 10*time.Millisecond, time.Minute),
		requireNumber("route.polls", s.Route.Polls, 1, 10000),
		requireDuration("route.stale", s.Route.Stale, 100*time.Millisecond, time.Hour),
		requireNumber("route.fanout", s.Route.Fanout, 1, 64),
		requireNumber("retry.share", s.Retry.Share, 0, 1),
		requireDuration("retry.backoff", s.Retry.Backoff, time.Millisecond, 10*time.Second),
		requireDuration("retry.silence", s.Retry.Silence, 50*time.Millisecond, time.Minute),
		requireNumber("strike.limit", s.Strike.Limit, 1, 10),
		requireDuration("stop.grace", s.Stop.Grace, time.Second, time.Hour),
		requireMemory("memory.bytes", s.Memory.Bytes),
	}
	for _, c := range checks {
		if c.err != nil {
			return c.key, c.err
		}
	}
	return "", nil
}

// requireMemory rejects a memory that is too small for an instance.
func requireMemory(key string, bytes int64) checkResult {
	if bytes == 0 {
		return checkResult{}
	}
	return requireNumber(key, bytes, 32<<20, 1<<50)
}

func requireText(key, value string) checkResult {
	if value == "" {
		return checkResult{key, errNotSet}
	}
	return checkResult{}
}

func requireEntries(key string, n int) checkResult {
	if n == 0 {
		return checkResult{key, errNotSet}
	}
	return checkResult{}
}

func requireDuration(key string, d boot.Duration, low, high time.Duration) checkResult {
	v := time.Duration(d)
	if v < low || v > high {
		return checkResult{key, fmt.Errorf("%w: %v, allowed are %v to %v", errRange, v, low, high)}
	}
	return checkResult{}
}

func requireNumber[T int | int64 | float64](key string, v, low, high T) checkResult {
	if v < low || v > high || v != v { //nolint:gocritic,staticcheck // NaN is out of range
		return checkResult{key, fmt.Errorf("%w: %v, allowed are %v to %v", errRange, v, low, high)}
	}
	return checkResult{}
}

func requirePolicy(key string, p route.Policy) checkResult {
	if p != route.PolicyCache && p != route.PolicyLoad {
		return checkResult{key, fmt.Errorf("%w: %q, allowed are %q and %q", errRange, p, route.PolicyCache, route.PolicyLoad)}
	}
	return checkResult{}
}
