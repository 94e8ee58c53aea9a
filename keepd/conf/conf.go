// Package conf holds the settings of keepd.
package conf

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/keys"
)

// Settings are the settings of keepd; sample.toml describes them.
type Settings struct {
	Name     string            `toml:"name"`
	Centre   string            `toml:"centre"`
	Folder   string            `toml:"folder"`
	Account  string            `toml:"account"`
	Digest   string            `toml:"digest"`
	Listen   Listen            `toml:"listen"`
	Keys     keys.Files        `toml:"keys"`
	Peers    map[string]string `toml:"peers"`
	Group    Group             `toml:"group"`
	Order    Order             `toml:"order"`
	Plan     Plan              `toml:"plan"`
	Ledger   Ledger            `toml:"ledger"`
	Member   Member            `toml:"member"`
	Platform Platform          `toml:"platform"`
}

// Listen holds the addresses of this instance.
type Listen struct {
	HTTP string `toml:"http"`
	Link string `toml:"link"`
}

// Group describes the replicated log.
type Group struct {
	Voters    []string      `toml:"voters"`
	Spares    []string      `toml:"spares"`
	Heartbeat boot.Duration `toml:"heartbeat"`
	Election  boot.Duration `toml:"election"`
	Replace   boot.Duration `toml:"replace"`
	Snapshot  uint64        `toml:"snapshot"`
}

// Order bounds orders to engines.
type Order struct {
	Lease  boot.Duration `toml:"lease"`
	Margin boot.Duration `toml:"margin"`
	Flight boot.Duration `toml:"flight"`
	Drain  boot.Duration `toml:"drain"`
	Settle boot.Duration `toml:"settle"`
	Report boot.Duration `toml:"report"`
}

// Plan weighs role changes.
type Plan struct {
	Policy  string        `toml:"policy"`
	Price   float64       `toml:"price"`
	Dwell   boot.Duration `toml:"dwell"`
	Horizon boot.Duration `toml:"horizon"`
	Period  boot.Duration `toml:"period"`
	Moving  int           `toml:"moving"`
	Reserve int           `toml:"reserve"`
}

// Ledger bounds the records of run-once calls.
type Ledger struct {
	Life   boot.Duration `toml:"life"`
	Bytes  int           `toml:"bytes"`
	Holder boot.Duration `toml:"holder"`
}

// Member bounds the silence of entry instances.
type Member struct {
	Lease boot.Duration `toml:"lease"`
}

// Platform names what the platform offers.
type Platform struct {
	List string `toml:"list"`
}

// Default returns the defaults.
func Default() *Settings {
	return &Settings{
		Account: "operator",
		Group: Group{
			Heartbeat: boot.Duration(50 * time.Millisecond),
			Election:  boot.Duration(300 * time.Millisecond),
			Replace:   boot.Duration(30 * time.Second),
			Snapshot:  10000,
		},
		Order: Order{
			Lease:  boot.Duration(3 * time.Second),
			Margin: boot.Duration(300 * time.Millisecond),
			Flight: boot.Duration(time.Second),
			Drain:  boot.Duration(time.Minute),
		},
		Plan: Plan{
			Policy: "goodput", Price: 1, Dwell: boot.Duration(20 * time.Second), Horizon: boot.Duration(time.Minute),
			Period: boot.Duration(time.Second), Moving: 1, Reserve: 1,
		},
		Ledger: Ledger{Life: boot.Duration(24 * time.Hour), Bytes: 256 << 20, Holder: boot.Duration(5 * time.Second)},
		Member: Member{Lease: boot.Duration(3 * time.Second)},
	}
}

const (
	maxVoters   = 7
	maxInstance = 64
	digestBytes = 64
)

var errMissing = errors.New("must be set")

// Check implements boot.Checker.
func (s *Settings) Check() (string, error) {
	for _, check := range []func() (string, error){s.checkNames, s.checkGroup, s.checkOrder, s.checkPlan, s.checkRest} {
		if key, err := check(); err != nil {
			return key, err
		}
	}
	return "", nil
}

// rule is one key with what is wrong with it.
type rule struct {
	key string
	err error
}

func first(rules ...rule) (string, error) {
	for _, r := range rules {
		if r.err != nil {
			return r.key, r.err
		}
	}
	return "", nil
}

func set(v string) error {
	if v == "" {
		return errMissing
	}
	return nil
}

func address(v string) error {
	if _, port, err := net.SplitHostPort(v); err != nil || port == "" {
		return fmt.Errorf("%q is no host:port", v)
	}
	return nil
}

func span(v boot.Duration, low, high time.Duration) error {
	if d := time.Duration(v); d < low || d > high {
		return fmt.Errorf("%s is not in %s to %s", d, low, high)
	}
	return nil
}

func within[T int | uint64 | float64](v, low, high T) error {
	if v != v || v < low || v > high { //nolint:gocritic,staticcheck // NaN is out of range
		return fmt.Errorf("%v is not in %v to %v", v, low, high)
	}
	return nil
}

func (s *Settings) checkNames() (string, error) {
	return first(
		rule{"name", set(s.Name)},
		rule{"centre", set(s.Centre)},
		rule{"folder", set(s.Folder)},
		rule{"account", set(s.Account)},
		rule{"digest", s.checkDigest()},
		rule{"listen.http", address(s.Listen.HTTP)},
		rule{"listen.link", address(s.Listen.Link)},
		rule{"keys.authority", set(s.Keys.Authority)},
		rule{"keys.cert", set(s.Keys.Cert)},
		rule{"keys.key", set(s.Keys.Key)},
	)
}

func (s *Settings) checkDigest() error {
	if _, err := hex.DecodeString(s.Digest); err != nil || len(s.Digest) != digestBytes {
		return fmt.Errorf("must be %d hex digits: the SHA-256 of a token", digestBytes)
	}
	return nil
}

func (s *Settings) checkGroup() (string, error) {
	if len(s.Peers) == 0 || len(s.Peers) > maxInstance {
		return "peers", fmt.Errorf("%d instances, not in 1 to %d", len(s.Peers), maxInstance)
	}
	for _, name := range sortedKeys(s.Peers) {
		if err := address(s.Peers[name]); err != nil {
			return "peers." + name, err
		}
	}
	if n := len(s.Group.Voters); n < 1 || n > maxVoters {
		return "group.voters", fmt.Errorf("%d voters, not in 1 to %d", n, maxVoters)
	}
	return first(
		rule{"group.voters", s.known(s.Group.Voters, nil)},
		rule{"group.spares", s.known(s.Group.Spares, s.Group.Voters)},
		rule{"name", s.known([]string{s.Name}, nil)},
		rule{"group.heartbeat", span(s.Group.Heartbeat, 10*time.Millisecond, 10*time.Second)},
		rule{"group.election", span(s.Group.Election, 3*time.Duration(s.Group.Heartbeat), time.Minute)},
		rule{"group.replace", span(s.Group.Replace, time.Second, 24*time.Hour)},
		rule{"group.snapshot", within(s.Group.Snapshot, 100, 1000000)},
	)
}

// known refuses names without an address, names twice and names in others.
func (s *Settings) known(names, others []string) error {
	seen := slices.Clone(others)
	for _, name := range names {
		if _, ok := s.Peers[name]; !ok {
			return fmt.Errorf("%q has no address in peers", name)
		}
		if slices.Contains(seen, name) {
			return fmt.Errorf("%q stands twice", name)
		}
		seen = append(seen, name)
	}
	return nil
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (s *Settings) checkOrder() (string, error) {
	return first(
		rule{"order.lease", span(s.Order.Lease, 500*time.Millisecond, time.Minute)},
		rule{"order.margin", span(s.Order.Margin, 10*time.Millisecond, time.Duration(s.Order.Lease)/2)},
		rule{"order.flight", span(s.Order.Flight, 100*time.Millisecond, 10*time.Minute)},
		rule{"order.drain", span(s.Order.Drain, 0, time.Hour)},
		rule{"order.settle", span(s.Order.Settle, 0, time.Minute)},
		rule{"order.report", span(s.Order.Report, 0, time.Minute)},
	)
}

func (s *Settings) checkPlan() (string, error) {
	if !slices.Contains([]string{"goodput", "threshold", "follow", "fixed"}, s.Plan.Policy) {
		return "plan.policy", fmt.Errorf("%q is none of goodput, threshold, follow, fixed", s.Plan.Policy)
	}
	return first(
		rule{"plan.price", within(s.Plan.Price, 0, 100)},
		rule{"plan.dwell", span(s.Plan.Dwell, 0, 24*time.Hour)},
		rule{"plan.horizon", span(s.Plan.Horizon, time.Second, 24*time.Hour)},
		rule{"plan.period", span(s.Plan.Period, 10*time.Millisecond, time.Hour)},
		rule{"plan.moving", within(s.Plan.Moving, 1, 100)},
		rule{"plan.reserve", within(s.Plan.Reserve, 1, 100)},
	)
}

func (s *Settings) checkRest() (string, error) {
	return first(
		rule{"ledger.life", span(s.Ledger.Life, time.Minute, 720*time.Hour)},
		rule{"ledger.bytes", within(s.Ledger.Bytes, 1<<20, 64<<30)},
		rule{"ledger.holder", span(s.Ledger.Holder, 100*time.Millisecond, time.Hour)},
		rule{"member.lease", span(s.Member.Lease, 100*time.Millisecond, time.Hour)},
	)
}
