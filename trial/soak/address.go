package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"verbenahaven.example/trial/fleet"
)

// addressTTL is how long callers use an address list. It must equal the
// address.life setting of the entry instances.
const addressTTL = time.Second

// addressBook is the list of entry instances that one caller may use.
type addressBook struct {
	fleet     *fleet.Fleet
	expiresAt time.Time
	usable    []*fleet.Process
}

// pick returns a random usable instance. An expired list stays in use only if
// no instance gives a new one.
func (a *addressBook) pick(ctx context.Context, random *rand.Rand) *fleet.Process {
	for i := 0; time.Now().After(a.expiresAt) && i < len(a.fleet.Entries()); i++ {
		a.refresh(ctx, a.fleet.Entries()[random.IntN(len(a.fleet.Entries()))])
	}
	if len(a.usable) == 0 {
		a.usable = a.fleet.Entries()
	}
	return a.usable[random.IntN(len(a.usable))]
}

func (a *addressBook) refresh(ctx context.Context, p *fleet.Process) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	asked := time.Now()
	urls, err := a.fleet.Addresses(ctx, p)
	if err != nil || len(urls) == 0 {
		return
	}
	a.usable, a.expiresAt = nil, asked.Add(addressTTL)
	for _, url := range urls {
		for _, p := range a.fleet.Entries() {
			if p.URL() == url {
				a.usable = append(a.usable, p)
			}
		}
	}
}
