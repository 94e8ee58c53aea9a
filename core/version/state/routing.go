package state

import (
	"strings"
	"time"
)

// RouteKind tells what may be repeated.
type RouteKind string

// Kinds of route.
const (
	RouteSafe   RouteKind = "safe"   // idempotent
	RouteUnsafe RouteKind = "unsafe" // at most once
	RouteStream RouteKind = "stream" // server-sent events; at most once unless it may be resumed
)

// Routing is a published routing table: which pools serve which paths. Number
// is the publisher's own; a higher one replaces a lower one.
type Routing struct {
	Number uint64  `cbor:"1,keyasint"`
	Routes []Route `cbor:"2,keyasint,omitempty"`
	Pools  []Pool  `cbor:"3,keyasint,omitempty"`
	Limits Limits  `cbor:"4,keyasint"`
	// Source is the document as it was published. Only the instances that
	// keep the state have it.
	Source  []byte `cbor:"5,keyasint,omitempty"`
	Version uint64 `cbor:"6,keyasint"`
}

// Route sends the requests of a host and path prefix to pools.
type Route struct {
	Name     string        `cbor:"1,keyasint"`
	Host     string        `cbor:"2,keyasint"`
	Prefix   string        `cbor:"3,keyasint"` // begins and ends with a slash
	Kind     RouteKind     `cbor:"4,keyasint"`
	Timeout  time.Duration `cbor:"5,keyasint"` // longest time to the end of the answer
	Target   time.Duration `cbor:"6,keyasint"` // time in which an answer, or its first event, is on time
	Gap      time.Duration `cbor:"7,keyasint"` // longest pause between events that is on time
	Rank     int           `cbor:"8,keyasint"` // 0 is the most urgent
	Shares   []Share       `cbor:"9,keyasint"`
	Attempts int           `cbor:"10,keyasint"` // backend servers that may run one request
	Prompt   bool          `cbor:"11,keyasint"` // requests describe their prompt
	Resume   bool          `cbor:"12,keyasint"` // a broken stream may go on elsewhere
}

// Share is the weight of a pool in a route.
type Share struct {
	Pool   string `cbor:"1,keyasint"`
	Weight int    `cbor:"2,keyasint"`
}

// Pool is a group of backend servers that can stand in for each other.
type Pool struct {
	Name   string `cbor:"1,keyasint"`
	Health string `cbor:"2,keyasint"`           // path of the health check
	Conns  int    `cbor:"3,keyasint"`           // connections that one server accepts from all instances
	Spec   *Spec  `cbor:"4,keyasint,omitempty"` // of model engines, nil for plain servers
}

// Spec describes the engines of a pool.
type Spec struct {
	Slots      int           `cbor:"1,keyasint"` // requests in one batch
	Tokens     int           `cbor:"2,keyasint"` // KV memory
	TokenBytes int           `cbor:"3,keyasint"` // KV memory of one token
	Link       float64       `cbor:"4,keyasint"` // Mbit/s between engines
	Stride     int           `cbor:"5,keyasint"` // most tokens in one event
	Hold       time.Duration `cbor:"6,keyasint"` // life of a prefilled prompt that nobody takes
	Switch     time.Duration `cbor:"7,keyasint"` // time away for a change of role
}

// Limits bound what callers send. Zero is no limit.
type Limits struct {
	Header     int           `cbor:"1,keyasint"` // bytes
	Body       int64         `cbor:"2,keyasint"` // bytes
	HeaderTime time.Duration `cbor:"3,keyasint"`
	Idle       time.Duration `cbor:"4,keyasint"` // of a kept connection
}

// Publish takes a routing table if its number is higher than that of the one
// in force. It reports the number in force afterwards.
func (s *State) Publish(r Routing) uint64 {
	if s.routing != nil && r.Number <= s.routing.Number {
		return s.routing.Number
	}
	s.touch()
	r.Version = s.index
	s.routing = &r
	return r.Number
}

// Routing returns the table in force, or nil if none was published.
func (s *State) Routing() *Routing {
	return s.routing
}

// spread is the table as entry instances get it.
func (s *State) spread(since uint64) *Routing {
	if s.routing == nil || s.routing.Version <= since {
		return nil
	}
	r := *s.routing
	r.Source = nil
	return &r
}

// Fleet is the backend servers that a platform lists.
type Fleet struct {
	Engines []Engine `cbor:"1,keyasint,omitempty"`
	Servers []Server `cbor:"2,keyasint,omitempty"`
}

// Sync takes the fleet as the platform lists it: what is new is added, what
// leaves is marked, and what is gone is removed. The role of a known engine is
// left to its orders while one is open.
func (s *State) Sync(f Fleet) {
	engines := make(map[string]bool, len(f.Engines))
	for _, e := range f.Engines {
		engines[e.Name] = true
		s.syncEngine(e)
	}
	for _, e := range s.engines.after(0) {
		if !engines[e.Name] {
			delete(s.open, e.Name)
			drop(s, &s.engines, e.Name)
		}
	}
	servers := make(map[string]bool, len(f.Servers))
	for _, v := range f.Servers {
		servers[v.Name] = true
		old := s.servers.rows[v.Name]
		v.Version = old.Version
		if v != old {
			put(s, &s.servers, v)
		}
	}
	for _, v := range s.servers.after(0) {
		if !servers[v.Name] {
			drop(s, &s.servers, v.Name)
		}
	}
}

func (s *State) syncEngine(e Engine) {
	old, found := s.engines.rows[e.Name]
	if _, open := s.open[e.Name]; open {
		k := removedKey{NounEngine, e.Name}
		n := s.notes[k]
		n.Noun, n.Name, n.Drained = NounEngine, e.Name, e.Phase == PhaseLeaving
		s.notes[k] = n
		e.Role, e.Phase = old.Role, old.Phase
	}
	e.Version = old.Version
	if !found || e != old {
		put(s, &s.engines, e)
	}
}

// Check tells what is wrong with a routing table, nil if nothing is.
func (r *Routing) Check() error {
	pools := make(map[string]bool, len(r.Pools))
	for _, p := range r.Pools {
		pools[p.Name] = true
	}
	places := make(map[[2]string]string, len(r.Routes))
	for _, v := range r.Routes {
		place := [2]string{v.Host, v.Prefix}
		if other, taken := places[place]; taken {
			return refuse(CodeInvalid, "routes %s and %s: same host and prefix", other, v.Name)
		}
		places[place] = v.Name
		if v.Timeout <= 0 {
			return refuse(CodeInvalid, "route %s: timeout is %s", v.Name, v.Timeout)
		}
		total := 0
		for _, share := range v.Shares {
			if !pools[share.Pool] {
				return refuse(CodeInvalid, "route %s: unknown pool %q", v.Name, share.Pool)
			}
			if share.Weight < 0 {
				return refuse(CodeInvalid, "route %s: weight %d", v.Name, share.Weight)
			}
			total += share.Weight
		}
		if total == 0 {
			return refuse(CodeInvalid, "route %s: its weights add up to 0", v.Name)
		}
	}
	return nil
}

// Match finds the route of a host and path: of those of the host, the one with
// the longest prefix that begins the path.
func (r *Routing) Match(host, path string) (Route, bool) {
	best := -1
	for i := range r.Routes {
		v := &r.Routes[i]
		if v.Host != host || !strings.HasPrefix(path, v.Prefix) {
			continue
		}
		if best < 0 || len(v.Prefix) > len(r.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return r.Routes[best], true
}

// Pool returns a pool by name.
func (r *Routing) Pool(name string) (Pool, bool) {
	for _, p := range r.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Choose picks a pool of the route by weight; draw is a random number.
func (v *Route) Choose(draw uint64) string {
	total := uint64(0)
	for _, s := range v.Shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	draw %= total
	for _, s := range v.Shares {
		if draw < uint64(s.Weight) {
			return s.Pool
		}
		draw -= uint64(s.Weight)
	}
	return ""
}
