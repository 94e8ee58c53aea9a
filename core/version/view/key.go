package view

import "verbenahaven.example/core/version/state"

// maxFormerKeys bounds the keys of earlier tables that are remembered.
const maxFormerKeys = 1024

// keyIndex finds the account of an API key by the key's digest. It is built once for
// each routing table, and shared by all snapshots with that table.
type keyIndex struct {
	accounts []state.Account
	byDigest map[state.KeyDigest]int32  // position in accounts
	former   map[state.KeyDigest]string // account of keys that earlier tables had
}

// newKeyIndex returns the index of a routing table that follows the one of another
// index, or nil.
func newKeyIndex(r *state.RoutingTable, previous *keyIndex) *keyIndex {
	keys := 0
	for i := range r.Accounts {
		keys += len(r.Accounts[i].KeyDigests)
	}
	x := &keyIndex{accounts: r.Accounts, byDigest: make(map[state.KeyDigest]int32, keys)}
	for i := range r.Accounts {
		for _, digest := range r.Accounts[i].KeyDigests {
			x.byDigest[digest] = int32(i)
		}
	}
	if previous != nil {
		x.rememberFormer(previous)
	}
	return x
}

// rememberFormer remembers the keys of an earlier index that this one lacks.
func (x *keyIndex) rememberFormer(previous *keyIndex) {
	x.former = make(map[state.KeyDigest]string)
	add := func(digest state.KeyDigest, account string) {
		if _, found := x.byDigest[digest]; !found && len(x.former) < maxFormerKeys {
			x.former[digest] = account
		}
	}
	for digest, i := range previous.byDigest {
		add(digest, previous.accounts[i].Name)
	}
	for digest, account := range previous.former {
		add(digest, account)
	}
}

// AccountByKey returns the account of the routing table that an API key belongs to, or
// nil if there is none. The account must not be changed.
func (s *Snapshot) AccountByKey(key string) *state.Account {
	if s.keys == nil || key == "" {
		return nil
	}
	i, found := s.keys.byDigest[state.DigestKey(key)]
	if !found {
		return nil
	}
	return &s.keys.accounts[i]
}

// FormerAccount returns the name of the account to which a key belonged under an earlier
// routing table, as far as it is remembered, or "".
func (s *Snapshot) FormerAccount(key string) string {
	if s.keys == nil || len(s.keys.former) == 0 || key == "" {
		return ""
	}
	return s.keys.former[state.DigestKey(key)]
}
