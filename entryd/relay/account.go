package relay

import (
	"strings"
	"time"
	"unicode"

	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/version/state"
)

// maxCountedAccounts is the number of accounts in a table up to which refusals are
// counted for each of them: counters are kept in memory until the process ends.
const maxCountedAccounts = 1000

// keyFault says why a call was refused for its key.
type keyFault string

// Reasons to refuse a call for its key.
const (
	keyMissing   keyFault = "missing"
	keyRepeated  keyFault = "repeated"  // more than one key was sent
	keyUnknown   keyFault = "unknown"   // in the table in force
	keyRemoved   keyFault = "removed"   // an earlier table had it
	keyUncertain keyFault = "uncertain" // the table may be older than the removal of a key
)

var keyFaultMessages = map[keyFault]string{
	keyMissing:   "this route needs an API key",
	keyRepeated:  "more than one API key was sent",
	keyUnknown:   "the API key isn't known",
	keyRemoved:   "the API key isn't known any more",
	keyUncertain: "it isn't known whether the API keys are current",
}

// revocation bounds how long keys are accepted without news.
type revocation struct {
	limit time.Duration
	age   func() time.Duration
}

// SetRevocation sets the time without confirmation that the routing table is current
// after which calls that need a key are refused, 0 for no limit. age returns the time
// since the last confirmation.
func (s *Proxy) SetRevocation(limit time.Duration, age func() time.Duration) {
	if limit <= 0 {
		s.revocation.Store(nil)
		return
	}
	s.revocation.Store(&revocation{limit: limit, age: age})
}

// identify finds the account of the call's key in the table that the call began under.
// It returns the refusal of a call whose route needs a key that it doesn't have, or
// nil.
func (f *inflightCall) identify(table *state.RoutingTable) *server.Refusal {
	if !table.NeedsKeys {
		return nil
	}
	if r := f.revocation.Load(); r != nil && !f.route.Public && r.age() > r.limit {
		return f.refuseKey(keyUncertain)
	}
	f.account = f.snapshot.AccountByKey(string(f.call.Key))
	switch {
	case f.account != nil:
		f.call.Account = f.account.Name
		return nil
	case f.route.Public:
		return nil
	case f.call.KeyRepeated:
		return f.refuseKey(keyRepeated)
	case f.call.Key == "":
		return f.refuseKey(keyMissing)
	case f.snapshot.FormerAccount(string(f.call.Key)) != "":
		return f.refuseKey(keyRemoved)
	default:
		return f.refuseKey(keyUnknown)
	}
}

// refuseKey returns the refusal for a key. The instance that forwarded a call has
// accepted its key, so one of the two has an older table: the call is declined, and
// may run at a third instance.
func (f *inflightCall) refuseKey(fault keyFault) *server.Refusal {
	f.keyFault = fault
	f.meter.Count("key", string(fault))
	r := &server.Refusal{Kind: server.RefuseUnauthorized, Message: keyFaultMessages[fault]}
	if f.ofPeer || fault == keyUncertain {
		r.Kind, r.RetryAfter = server.RefuseNotExecuted, busyRetryAfter
		r.Unable, r.UnknownKey = f.ofPeer, f.ofPeer
	}
	return r
}

// recordUnable records that another instance declined the call. One that doesn't know
// the call's key is still asked for other calls.
func (f *inflightCall) recordUnable(peer *state.Member, reason string, status int, unknownKey bool) {
	if unknownKey {
		f.logForwarded(peer, reason, "unknown_key", status, nil)
		return
	}
	f.fleet.peerFailed(f.clock.Now(), peer.Name)
	f.logForwarded(peer, reason, "unable", status, nil)
}

// accountAttrs returns the log attributes of the caller's account, none without one.
func (f *inflightCall) accountAttrs() []any {
	var attrs []any
	if f.account != nil {
		attrs = append(attrs, "account", f.account.Name)
	}
	if f.keyFault != "" {
		attrs = append(attrs, "key_fault", f.keyFault)
	}
	if f.keyFault == keyRemoved {
		attrs = append(attrs, "former_account", f.snapshot.FormerAccount(string(f.call.Key)))
	}
	return attrs
}

// countAccountRefusal counts a refusal for the caller's account.
func (f *inflightCall) countAccountRefusal(kind server.RefusalKind) {
	if f.account == nil || len(f.snapshot.Routing().Accounts) > maxCountedAccounts {
		return
	}
	f.meter.Count("account", metricName(f.account.Name), "refused", string(kind))
}

// metricName returns a name without spaces, which separate a metric from its value.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsSpace(r) {
			return '_'
		}
		return r
	}, name)
}
