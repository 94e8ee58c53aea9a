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
	// sampleSize is how many other instances are polled when no keeper answers.
	sampleSize = 9
	// peerPollTimeout bounds one such poll.
	peerPollTimeout = 400 * time.Millisecond
	// peerPollAge is the age of the state above which other instances are
	// polled, every peerPollPeriod.
	peerPollAge    = 2 * time.Second
	peerPollPeriod = 500 * time.Millisecond
	// isolationTimeout is how long an instance may reach neither a keeper nor a
	// majority of its sample before it counts as isolated.
	isolationTimeout = 3 * time.Second
)

// peers holds the connections to other entry instances.
type peers struct {
	config *tls.Config

	mutex           sync.Mutex
	clients         map[string]client // by name
	majorityHeardAt time.Duration     // elapsed time at which most of the sample last answered
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
	if ok && c.link.Address() == m.LinkAddress {
		return c.link
	}
	if ok {
		c.cleanup()
	}
	c.link, c.cleanup = link.NewClient(m.LinkAddress, p.config)
	p.clients[m.Name] = c
	return c.link
}

func (p *peers) watch(ctx context.Context, m state.Member, r proto.WatchRequest) (proto.WatchReply, error) {
	return link.Call[proto.WatchRequest, proto.WatchReply](ctx, p.client(m), proto.KindWatch, r) //nolint:wrapcheck // wrapped by link
}

// pollSample polls a sample of the other instances when no keeper answers: they
// may know what this one must learn, such as that a server is leaving.
func (p *peers) pollSample(ctx context.Context, w *Watch) {
	list := Sample(w.store.Current().LiveEntries(), w.settings.Name)
	replies := make(chan *proto.WatchReply, len(list))
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	sent := w.clock.Elapsed()
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
			w.apply(*r, "peer", sent)
		}
	}
	if Majority(answers, len(list)) {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.majorityHeardAt = sent
	}
}

// Majority reports whether an instance and those of its sample that answered
// are more than half of the sample and itself.
func Majority(answered, polled int) bool {
	return 2*(answered+1) > polled+1
}

// Sample returns the other instances that an instance polls. The choice is
// deterministic: the lowest hashes of both names.
func Sample(entries []state.Member, name string) []state.Member {
	var list []state.Member
	for _, m := range entries {
		if m.Name != name {
			list = append(list, m)
		}
	}
	if len(list) <= sampleSize {
		return list
	}
	sort.Slice(list, func(i, j int) bool {
		return xxhash.Sum64String(name+"/"+list[i].Name) < xxhash.Sum64String(name+"/"+list[j].Name)
	})
	return list[:sampleSize]
}

// Isolated reports whether this instance has reached neither a keeper nor most
// of its sample for isolationTimeout. It then can't know which backend servers
// are leaving, and must not give them work. When only the keepers are lost, no
// change can be accepted, so the instances keep serving.
func (w *Watch) Isolated(now time.Duration) bool {
	w.mutex.Lock()
	currentAt := w.currentAt
	w.mutex.Unlock()
	if now-currentAt <= isolationTimeout {
		return false
	}
	w.peers.mutex.Lock()
	defer w.peers.mutex.Unlock()
	if now-w.peers.majorityHeardAt <= isolationTimeout {
		return false
	}
	w.meter.Count("watch", "isolated")
	return true
}
