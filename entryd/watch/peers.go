package watch

import (
	"context"
	"crypto/tls"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

const (
	// sample is how many other instances are asked when no keeper answers.
	sample = 9
	// askTimeout bounds one such question.
	askTimeout = 400 * time.Millisecond
	// old is the age of the state from which others are asked, every look.
	old  = 2 * time.Second
	look = 500 * time.Millisecond
	// isolated is how long an instance may hear nobody before it counts as
	// cut off.
	isolated = 3 * time.Second
)

// peers are the links to other entry instances.
type peers struct {
	config *tls.Config

	mutex   sync.Mutex
	clients map[string]client // by name
	heard   time.Duration     // when most of the sample answered last
}

type client struct {
	link    *link.Client
	cleanup func()
}

func newPeers(config *tls.Config) *peers {
	return &peers{config: config, clients: make(map[string]client)}
}

func (p *peers) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.clients {
		c.cleanup()
	}
	clear(p.clients)
}

func (p *peers) client(m state.Member) *link.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c, ok := p.clients[m.Name]
	if ok && c.link.Address() == m.Link {
		return c.link
	}
	if ok {
		c.cleanup()
	}
	c.link, c.cleanup = link.NewClient(m.Link, p.config)
	p.clients[m.Name] = c
	return c.link
}

func (p *peers) watch(ctx context.Context, m state.Member, r proto.WatchRequest) (proto.WatchReply, error) {
	return link.Call[proto.WatchRequest, proto.WatchReply](ctx, p.client(m), proto.KindWatch, r) //nolint:wrapcheck // wrapped by link
}

// ask looks for news at some other instances when no keeper answers: what an
// isolated instance must know, such as a server that leaves, others know.
func (p *peers) ask(ctx context.Context, w *Watch) {
	list := Sample(w.store.Current().Entries(), w.settings.Name)
	replies := make(chan *proto.WatchReply, len(list))
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, m := range list {
		go func() {
			r, err := p.watch(ctx, m, w.request(0))
			if err != nil {
				replies <- nil
				return
			}
			replies <- &r
		}()
	}
	answers := 0
	for range list {
		if r := <-replies; r != nil {
			answers++
			w.take(*r, "peer")
		}
	}
	if Majority(answers, len(list)) {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.heard = w.clock.Elapsed()
	}
}

// Majority reports whether an instance that heard some of a sample of others
// is, together with them, the larger part.
func Majority(heard, asked int) bool {
	return 2*(heard+1) > asked+1
}

// Sample chooses the other instances that one asks, the same each time.
func Sample(entries []state.Member, name string) []state.Member {
	var list []state.Member
	for _, m := range entries {
		if m.Name != name {
			list = append(list, m)
		}
	}
	if len(list) <= sample {
		return list
	}
	sort.Slice(list, func(i, j int) bool {
		return xxhash.Sum64String(name+"/"+list[i].Name) < xxhash.Sum64String(name+"/"+list[j].Name)
	})
	return list[:sample]
}

// Isolated reports whether this instance has heard neither a keeper nor most
// of the others for a while. It then can't know which backend servers are
// leaving, and must not give them work. When only the keepers are lost, no
// change can be accepted, and the instances go on.
func (w *Watch) Isolated(now time.Duration) bool {
	w.mutex.Lock()
	fresh := w.fresh
	w.mutex.Unlock()
	if now-fresh <= isolated {
		return false
	}
	w.peers.mutex.Lock()
	defer w.peers.mutex.Unlock()
	if now-w.peers.heard <= isolated {
		return false
	}
	w.meter.Count("watch", "isolated")
	return true
}
