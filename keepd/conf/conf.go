// Package conf defines the settings of keepd with their defaults and limits.
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

// Settings is the settings file of keepd; sample.toml describes each key.
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
	Usage    Usage             `toml:"usage"`
	Stop     Stop              `toml:"stop"`
	Duties   Duties            `toml:"-"` // set on a platform only
}

// Usage configures the reports of client accounts' usage to a platform.
type Usage struct {
	Window boot.Duration `toml:"window"` // 0 for no reports
	Late   boot.Duration `toml:"late"`   // from the end of a window until its report counts as late
}

// Stop configures the shutdown.
type Stop struct {
	Grace boot.Duration `toml:"grace"`
}

// Listen holds the addresses that this instance listens on.
type Listen struct {
	HTTP string `toml:"http"`
	Link string `toml:"link"`
}

// Group configures the replicated log: its voters and spares, timeouts and
// snapshots.
type Group struct {
	Voters           []string      `toml:"voters"`
	Spares           []string      `toml:"spares"`
	Heartbeat        boot.Duration `toml:"heartbeat"`
	Election         boot.Duration `toml:"election"`
	ReplaceAfter     boot.Duration `toml:"replace"`
	SnapshotCommands uint64        `toml:"snapshot"`
	DiskBytes        int64         `toml:"disk"`   // 0 for what is free
	MemoryBytes      int64         `toml:"memory"` // 0 for that of the machine
}

// Order configures the delivery of role-change orders to engines.
type Order struct {
	Lease           boot.Duration `toml:"lease"`
	Margin          boot.Duration `toml:"margin"`
	MaxNetworkDelay boot.Duration `toml:"flight"`
	DrainTimeout    boot.Duration `toml:"drain"`
	StartDelay      boot.Duration `toml:"settle"`
	ReportLag       boot.Duration `toml:"report"`
}

// Plan configures the planner of role changes.
type Plan struct {
	Policy      string        `toml:"policy"`
	ChangeCost  float64       `toml:"price"`
	MinDwell    boot.Duration `toml:"dwell"`
	Horizon     boot.Duration `toml:"horizon"`
	Period      boot.Duration `toml:"period"`
	MaxChanging int           `toml:"moving"`
	Reserve     int           `toml:"reserve"`
}

// Ledger limits the records of run-once calls.
type Ledger struct {
	TTL           boot.Duration `toml:"life"`
	MaxBytes      int           `toml:"bytes"`
	HolderTimeout boot.Duration `toml:"holder"`
}

// Member configures the lease of entry instances.
type Member struct {
	Lease boot.Duration `toml:"lease"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	List string `toml:"list"`
}

// Duties are the calls to the platform that the leader makes on behalf of all instances.
type Duties struct {
	Autoscale bool          // orders engines
	MaxRate   float64       // maximum calls per second, from all instances together; 0 for no limit
	ListLag   time.Duration // delay of the platform's list
}

// Default returns the default settings.
func Default() *Settings {
	return &Settings{
		Account: "operator",
		Group: Group{
			Heartbeat:        boot.Duration(50 * time.Millisecond),
			Election:         boot.Duration(300 * time.Millisecond),
			ReplaceAfter:     boot.Duration(30 * time.Second),
			SnapshotCommands: 10000,
		},
		Order: Order{
			Lease:           boot.Duration(3 * time.Second),
			Margin:          boot.Duration(300 * time.Millisecond),
			MaxNetworkDelay: boot.Duration(time.Second),
			DrainTimeout:    boot.Duration(time.Minute),
		},
		Plan: Plan{
			Policy: "goodput", ChangeCost: 1, MinDwell: boot.Duration(20 * time.Second), Horizon: boot.Duration(time.Minute),
			Period: boot.Duration(time.Second), MaxChanging: 1, Reserve: 1,
		},
		Ledger: Ledger{TTL: boot.Duration(24 * time.Hour), MaxBytes: 256 << 20, HolderTimeout: boot.Duration(5 * time.Second)},
		Member: Member{Lease: boot.Duration(3 * time.Second)},
		Usage:  Usage{Late: boot.Duration(10 * time.Second)},
		Stop:   Stop{Grace: boot.Duration(30 * time.Second)},
	}
}

const (
	maxVoters       = 7
	maxPeers        = 64
	digestHexDigits = 64
)

var errMissing = errors.New("must be set")

// Check implements boot.Checker.
func (s *Settings) Check() (string, error) {
	for _, check := range []func() (string, error){s.checkNames, s.checkGroup, s.checkOrder, s.checkPlan, s.checkLedgerAndMember, s.checkStop, s.checkUsage} {
		if key, err := check(); err != nil {
			return key, err
		}
	}
	return "", nil
}

// keyCheck is a key with the result of its check: nil, or what is wrong with
// its value.
type keyCheck struct {
	key string
	err error
}

func firstError(checks ...keyCheck) (string, error) {
	for _, c := range checks {
		if c.err != nil {
			return c.key, c.err
		}
	}
	return "", nil
}

func checkPresent(v string) error {
	if v == "" {
		return errMissing
	}
	return nil
}

func checkAddress(v string) error {
	if _, port, err := net.SplitHostPort(v); err != nil || port == "" {
		return fmt.Errorf("%q is no host:port", v)
	}
	return nil
}

func checkDuration(v boot.Duration, low, high time.Duration) error {
	if d := time.Duration(v); d < low || d > high {
		return fmt.Errorf("%s is not in %s to %s", d, low, high)
	}
	return nil
}

func checkRange[T int | int64 | uint64 | float64](v, low, high T) error {
	if v != v || v < low || v > high { //nolint:gocritic,staticcheck // v != v rejects NaN
		return fmt.Errorf("%v is not in %v to %v", v, low, high)
	}
	return nil
}

func (s *Settings) checkNames() (string, error) {
	return firstError(
		keyCheck{"name", checkPresent(s.Name)},
		keyCheck{"centre", checkPresent(s.Centre)},
		keyCheck{"folder", checkPresent(s.Folder)},
		keyCheck{"account", checkPresent(s.Account)},
		keyCheck{"digest", s.checkDigest()},
		keyCheck{"listen.http", checkAddress(s.Listen.HTTP)},
		keyCheck{"listen.link", checkAddress(s.Listen.Link)},
		keyCheck{"keys.authority", checkPresent(s.Keys.Authority)},
		keyCheck{"keys.cert", checkPresent(s.Keys.Cert)},
		keyCheck{"keys.key", checkPresent(s.Keys.Key)},
	)
}

func (s *Settings) checkDigest() error {
	if _, err := hex.DecodeString(s.Digest); err != nil || len(s.Digest) != digestHexDigits {
		return fmt.Errorf("must be %d hex digits: the SHA-256 of a token", digestHexDigits)
	}
	return nil
}

func (s *Settings) checkGroup() (string, error) {
	if len(s.Peers) == 0 || len(s.Peers) > maxPeers {
		return "peers", fmt.Errorf("%d instances, not in 1 to %d", len(s.Peers), maxPeers)
	}
	for _, name := range sortedKeys(s.Peers) {
		if err := checkAddress(s.Peers[name]); err != nil {
			return "peers." + name, err
		}
	}
	if n := len(s.Group.Voters); n < 1 || n > maxVoters {
		return "group.voters", fmt.Errorf("%d voters, not in 1 to %d", n, maxVoters)
	}
	return firstError(
		keyCheck{"group.voters", s.checkPeerNames(s.Group.Voters, nil)},
		keyCheck{"group.spares", s.checkPeerNames(s.Group.Spares, s.Group.Voters)},
		keyCheck{"name", s.checkPeerNames([]string{s.Name}, nil)},
		keyCheck{"group.heartbeat", checkDuration(s.Group.Heartbeat, 10*time.Millisecond, 10*time.Second)},
		keyCheck{"group.election", checkDuration(s.Group.Election, 3*time.Duration(s.Group.Heartbeat), time.Minute)},
		keyCheck{"group.replace", checkDuration(s.Group.ReplaceAfter, time.Second, 24*time.Hour)},
		keyCheck{"group.snapshot", checkRange(s.Group.SnapshotCommands, 100, 1000000)},
		keyCheck{"group.disk", checkShare(s.Group.DiskBytes)},
		keyCheck{"group.memory", checkShare(s.Group.MemoryBytes)},
	)
}

// checkShare rejects shares of a disk or memory that are too small for a group.
func checkShare(v int64) error {
	if v == 0 {
		return nil
	}
	return checkRange(v, 16<<20, 1<<50)
}

// checkPeerNames rejects names without an address in peers, repeated names and
// names that are also in others.
func (s *Settings) checkPeerNames(names, others []string) error {
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
	return firstError(
		keyCheck{"order.lease", checkDuration(s.Order.Lease, 500*time.Millisecond, time.Minute)},
		keyCheck{"order.margin", checkDuration(s.Order.Margin, 10*time.Millisecond, time.Duration(s.Order.Lease)/2)},
		keyCheck{"order.flight", checkDuration(s.Order.MaxNetworkDelay, 100*time.Millisecond, 10*time.Minute)},
		keyCheck{"order.drain", checkDuration(s.Order.DrainTimeout, 0, time.Hour)},
		keyCheck{"order.settle", checkDuration(s.Order.StartDelay, 0, time.Minute)},
		keyCheck{"order.report", checkDuration(s.Order.ReportLag, 0, time.Minute)},
	)
}

func (s *Settings) checkPlan() (string, error) {
	if !slices.Contains([]string{"goodput", "threshold", "follow", "fixed"}, s.Plan.Policy) {
		return "plan.policy", fmt.Errorf("%q is none of goodput, threshold, follow, fixed", s.Plan.Policy)
	}
	return firstError(
		keyCheck{"plan.price", checkRange(s.Plan.ChangeCost, 0, 100)},
		keyCheck{"plan.dwell", checkDuration(s.Plan.MinDwell, 0, 24*time.Hour)},
		keyCheck{"plan.horizon", checkDuration(s.Plan.Horizon, time.Second, 24*time.Hour)},
		keyCheck{"plan.period", checkDuration(s.Plan.Period, 10*time.Millisecond, time.Hour)},
		keyCheck{"plan.moving", checkRange(s.Plan.MaxChanging, 1, 100)},
		keyCheck{"plan.reserve", checkRange(s.Plan.Reserve, 1, 100)},
	)
}

func (s *Settings) checkLedgerAndMember() (string, error) {
	return firstError(
		keyCheck{"ledger.life", checkDuration(s.Ledger.TTL, time.Minute, 720*time.Hour)},
		keyCheck{"ledger.bytes", checkRange(s.Ledger.MaxBytes, 1<<20, 64<<30)},
		keyCheck{"ledger.holder", checkDuration(s.Ledger.HolderTimeout, 100*time.Millisecond, time.Hour)},
		keyCheck{"member.lease", checkDuration(s.Member.Lease, 100*time.Millisecond, time.Hour)},
	)
}

func (s *Settings) checkStop() (string, error) {
	return firstError(keyCheck{"stop.grace", checkDuration(s.Stop.Grace, time.Second, time.Hour)})
}

func (s *Settings) checkUsage() (string, error) {
	if s.Usage.Window == 0 {
		return "", nil
	}
	return firstError(
		keyCheck{"usage.window", checkDuration(s.Usage.Window, time.Second, time.Hour)},
		keyCheck{"usage.late", checkDuration(s.Usage.Late, 0, time.Hour)},
	)
}
