package state

import (
	"strings"
	"unicode"
)

// MaxPriority is the least urgent priority that engines know.
const MaxPriority = 9

// emptyKeyDigest is the digest of an empty key, which no request carries.
var emptyKeyDigest = DigestKey("")

// EnginePriority returns the priority of the account's requests at the engines, from 0
// to MaxPriority, and whether it has one.
func (a *Account) EnginePriority() (priority int, found bool) {
	if a.Priority == nil {
		return 0, false
	}
	return min(max(*a.Priority, 0), MaxPriority), true
}

// validateAccounts returns the first error in the accounts of a routing table, or nil
// if they are valid. Its errors name accounts, never keys or digests.
func validateAccounts(accounts []Account) error {
	names := make(map[string]bool, len(accounts))
	owners := make(map[KeyDigest]string, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		switch {
		case a.Name == "":
			return refuse(CodeInvalid, "account %d of the list: its name is empty", i)
		case strings.ContainsFunc(a.Name, unicode.IsControl):
			// The name is sent to backend servers in a header.
			return refuse(CodeInvalid, "account %q: its name contains a control character", a.Name)
		case names[a.Name]:
			return refuse(CodeInvalid, "account %s: two accounts have this name", a.Name)
		}
		names[a.Name] = true
		for _, digest := range a.KeyDigests {
			if digest == emptyKeyDigest {
				return refuse(CodeInvalid, "account %s: a key is empty", a.Name)
			}
			if owner, taken := owners[digest]; taken && owner != a.Name {
				return refuse(CodeInvalid, "accounts %s and %s share a key", owner, a.Name)
			}
			owners[digest] = a.Name
		}
	}
	return nil
}
