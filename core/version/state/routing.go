package state

import (
	"slices"
	"strings"
	"time"
)

// RouteKind says whether requests of a route may be retried.
type RouteKind string

// Kinds of route.
const (
	RouteIdempotent RouteKind = "safe"   // may be retried
	RouteAtMostOnce RouteKind = "unsafe" // must run at most once
	RouteStream     RouteKind = "stream" // server-sent events; at most once unless resumable
)

// RoutingTable is a published routing table: which pools serve which hosts and
// paths. Number is given by the publisher; a higher number replaces a lower one.
type RoutingTable struct {
	Number uint64  `cbor:"1,keyasint"`
	Routes []Route `cbor:"2,keyasint,omitempty"`
	Pools  []Pool  `cbor:"3,keyasint,omitempty"`
	Limits Limits  `cbor:"4,keyasint"`
	// Source is the document as it was published. Only keepers have it.
	Source  []byte `cbor:"5,keyasint,omitempty"`
	Version uint64 `cbor:"6,keyasint"`
	// NeedsKeys is set if requests on routes that aren't public need the key of one of
	// Accounts, also if there are none.
	NeedsKeys bool      `cbor:"7,keyasint,omitempty"`
	Accounts  []Account `cbor:"8,keyasint,omitempty"`
}

// Route maps a host and path prefix to pools.
type Route struct {
	Name            string        `cbor:"1,keyasint"`
	Host            string        `cbor:"2,keyasint"`
	PathPrefix      string        `cbor:"3,keyasint"` // begins and ends with a slash
	Kind            RouteKind     `cbor:"4,keyasint"`
	Timeout         time.Duration `cbor:"5,keyasint"` // for the whole answer
	LatencyTarget   time.Duration `cbor:"6,keyasint"` // for the answer or its first event
	GapTarget       time.Duration `cbor:"7,keyasint"` // for the time between two events
	Priority        int           `cbor:"8,keyasint"` // 0 is the highest
	Weights         []PoolWeight  `cbor:"9,keyasint"`
	MaxAttempts     int           `cbor:"10,keyasint"`           // most backend servers that may run one request
	DescribesPrompt bool          `cbor:"11,keyasint"`           // requests describe their prompt
	Resumable       bool          `cbor:"12,keyasint"`           // a broken stream may continue on another backend server
	Public          bool          `cbor:"13,keyasint,omitempty"` // requests need no key
}

// PoolWeight is the weight of a pool in the traffic split of a route.
type PoolWeight struct {
	Pool   string `cbor:"1,keyasint"`
	Weight int    `cbor:"2,keyasint"`
}

// Pool is a group of interchangeable backend servers.
type Pool struct {
	Name       string      `cbor:"1,keyasint"`
	HealthPath string      `cbor:"2,keyasint"`
	MaxConns   int         `cbor:"3,keyasint"`           // most connections that one server accepts from all instances together
	Spec       *EngineSpec `cbor:"4,keyasint,omitempty"` // nil for plain servers
	Autoscale  *Autoscale  `cbor:"5,keyasint,omitempty"` // nil if the number of engines is fixed
}

// Autoscale bounds and prices the engines that may be ordered for a pool.
type Autoscale struct {
	Min              int                `cbor:"1,keyasint"` // engines in each data centre, of both kinds together
	Max              int                `cbor:"2,keyasint"`
	BootTime         time.Duration      `cbor:"3,keyasint"` // from the order until a new engine serves
	ReclaimablePrice float64            `cbor:"4,keyasint"` // of an engine that may be reclaimed, relative to the others
	CentrePrices     map[string]float64 `cbor:"5,keyasint"` // price of an engine's second, by data centre
}

// EngineSpec describes the engines of a pool.
type EngineSpec struct {
	BatchSize         int           `cbor:"1,keyasint"` // most requests in one batch
	KVTokens          int           `cbor:"2,keyasint"` // KV cache capacity in tokens
	KVBytesPerToken   int           `cbor:"3,keyasint"` // KV cache bytes per token
	LinkMbps          float64       `cbor:"4,keyasint"` // bandwidth between engines in Mbit/s
	MaxTokensPerEvent int           `cbor:"5,keyasint"` // most tokens in one event
	KVHoldTime        time.Duration `cbor:"6,keyasint"` // how long an engine keeps a prefilled prompt's KV cache that is not fetched
	RoleChangeTime    time.Duration `cbor:"7,keyasint"` // time out of service for a change of role
}

// Limits bound what callers send. Zero means no limit.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint"`
	BodyBytes     int64         `cbor:"2,keyasint"`
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"` // of a keep-alive connection
}

// PublishRouting makes a routing table the current one if its number is higher
// than that of the current one. It returns the number of the current table
// afterwards.
func (s *State) PublishRouting(r RoutingTable) uint64 {
	if s.routing != nil && r.Number <= s.routing.Number {
		return s.routing.Number
	}
	s.bumpVersion()
	r.Version = s.index
	s.routing = &r
	return r.Number
}

// Routing returns the current routing table, or nil if none was published.
func (s *State) Routing() *RoutingTable {
	return s.routing
}

// routingSince returns the routing table without its source, as entry instances
// get it, or nil if it is unchanged after a version.
func (s *State) routingSince(since uint64) *RoutingTable {
	if s.routing == nil || s.routing.Version <= since {
		return nil
	}
	r := *s.routing
	r.Source = nil
	return &r
}

// Fleet is the list of backend servers that a platform reports.
type Fleet struct {
	Engines []Engine `cbor:"1,keyasint,omitempty"`
	Servers []Server `cbor:"2,keyasint,omitempty"`
}

// DropRepeated drops entries with a name that an earlier one has, as a list may have that
// changes while its pages are read. The fleet would differ from the state for ever.
func (f *Fleet) DropRepeated() {
	seen := make(map[string]bool)
	isRepeated := func(name string) bool {
		found := seen[name]
		seen[name] = true
		return found
	}
	f.Engines = slices.DeleteFunc(f.Engines, func(e Engine) bool { return isRepeated(e.Name) })
	f.Servers = slices.DeleteFunc(f.Servers, func(s Server) bool { return isRepeated(s.Name) })
}

// SyncFleet makes the backend servers equal to the platform's list: it adds new
// ones, updates known ones and removes those that are no longer listed. While an
// order is open on an engine its role and phase are left to the order; if the
// list says that the engine is leaving, it leaves when the order closes.
func (s *State) SyncFleet(f Fleet) {
	before := s.listedBuilds()
	defer func() { s.updateFormerBuilds(before) }()
	listedEngines := make(map[string]bool, len(f.Engines))
	for _, e := range f.Engines {
		listedEngines[e.Name] = true
		s.syncEngine(e)
	}
	for _, e := range s.engines.after(0) {
		if !listedEngines[e.Name] {
			delete(s.openOrders, e.Name)
			drop(s, &s.engines, e.Name)
		}
	}
	listedServers := make(map[string]bool, len(f.Servers))
	for _, v := range f.Servers {
		listedServers[v.Name] = true
		old := s.servers.rows[v.Name]
		v.Version = old.Version
		if v != old {
			put(s, &s.servers, v)
		}
	}
	for _, v := range s.servers.after(0) {
		if !listedServers[v.Name] {
			drop(s, &s.servers, v.Name)
		}
	}
}

func (s *State) syncEngine(e Engine) {
	old, found := s.engines.rows[e.Name]
	if _, open := s.openOrders[e.Name]; open {
		key := objectKey{NounEngine, e.Name}
		l := s.lifecycles[key]
		l.Noun, l.Name, l.Drained = NounEngine, e.Name, e.Phase == PhaseLeaving
		s.lifecycles[key] = l
		e.Role, e.Phase = old.Role, old.Phase
	}
	e.Version = old.Version
	if !found || e != old {
		put(s, &s.engines, e)
	}
}

// Validate returns the first error in a routing table, or nil if it is valid.
func (r *RoutingTable) Validate() error {
	knownPools := make(map[string]bool, len(r.Pools))
	for _, p := range r.Pools {
		knownPools[p.Name] = true
	}
	seen := make(map[[2]string]string, len(r.Routes))
	for _, v := range r.Routes {
		location := [2]string{v.Host, v.PathPrefix}
		if other, taken := seen[location]; taken {
			return refuse(CodeInvalid, "routes %s and %s: same host and prefix", other, v.Name)
		}
		seen[location] = v.Name
		if v.Timeout <= 0 {
			return refuse(CodeInvalid, "route %s: timeout is %s", v.Name, v.Timeout)
		}
		totalWeight := 0
		for _, w := range v.Weights {
			if !knownPools[w.Pool] {
				return refuse(CodeInvalid, "route %s: unknown pool %q", v.Name, w.Pool)
			}
			if w.Weight < 0 {
				return refuse(CodeInvalid, "route %s: weight %d", v.Name, w.Weight)
			}
			totalWeight += w.Weight
		}
		if totalWeight == 0 {
			return refuse(CodeInvalid, "route %s: its weights add up to 0", v.Name)
		}
	}
	return validateAccounts(r.Accounts)
}

// Match returns the route of a host with the longest path prefix that matches the
// path.
func (r *RoutingTable) Match(host, path string) (Route, bool) {
	match := -1
	for i := range r.Routes {
		v := &r.Routes[i]
		if v.Host != host || !strings.HasPrefix(path, v.PathPrefix) {
			continue
		}
		if match < 0 || len(v.PathPrefix) > len(r.Routes[match].PathPrefix) {
			match = i
		}
	}
	if match < 0 {
		return Route{}, false
	}
	return r.Routes[match], true
}

// GapTarget returns the shortest of the longest times between two events that the routes
// to a pool allow, 0 if none sets one.
func (r *RoutingTable) GapTarget(pool string) time.Duration {
	target := time.Duration(0)
	if r == nil {
		return target
	}
	for _, v := range r.Routes {
		sends := slices.ContainsFunc(v.Weights, func(w PoolWeight) bool { return w.Pool == pool && w.Weight > 0 })
		if sends && v.GapTarget > 0 && (target == 0 || v.GapTarget < target) {
			target = v.GapTarget
		}
	}
	return target
}

// Pool returns a pool by name.
func (r *RoutingTable) Pool(name string) (Pool, bool) {
	for _, p := range r.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Allows reports whether the route sends requests to a pool.
func (v *Route) Allows(pool string) bool {
	return slices.ContainsFunc(v.Weights, func(w PoolWeight) bool { return w.Pool == pool && w.Weight > 0 })
}

// ChoosePool returns the name of a pool, selected by weight with the random number
// draw, or "" if the weights add up to 0.
func (v *Route) ChoosePool(draw uint64) string {
	totalWeight := uint64(0)
	for _, s := range v.Weights {
		totalWeight += uint64(s.Weight)
	}
	if totalWeight == 0 {
		return ""
	}
	draw %= totalWeight
	for _, s := range v.Weights {
		if draw < uint64(s.Weight) {
			return s.Pool
		}
		draw -= uint64(s.Weight)
	}
	return ""
}
