package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"verbenahaven.example/trial/fleet"
)

// addressLife is how long callers use an address answer; the settings of the
// entry instances say the same.
const addressLife = time.Second

// addresses is what one caller knows of the entry instances.
type addresses struct {
	fleet *fleet.Fleet
	until time.Time
	known []*fleet.Process
}

// pick returns the instance to use. An answer that can't be renewed is used on
// only if no instance gives a new one.
func (a *addresses) pick(ctx context.Context, random *rand.Rand) *fleet.Process {
	for i := 0; time.Now().After(a.until) && i < len(a.fleet.Entries()); i++ {
		a.renew(ctx, a.fleet.Entries()[random.IntN(len(a.fleet.Entries()))])
	}
	if len(a.known) == 0 {
		a.known = a.fleet.Entries()
	}
	return a.known[random.IntN(len(a.known))]
}

func (a *addresses) renew(ctx context.Context, p *fleet.Process) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	asked := time.Now()
	urls, err := a.fleet.Addresses(ctx, p)
	if err != nil || len(urls) == 0 {
		return
	}
	a.known, a.until = nil, asked.Add(addressLife)
	for _, url := range urls {
		for _, p := range a.fleet.Entries() {
			if p.URL() == url {
				a.known = append(a.known, p)
			}
		}
	}
}
