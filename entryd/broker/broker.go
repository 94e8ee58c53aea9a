// Package broker carries scheduling requests between the entry instances of a
// data centre and their broker, the instance that schedules for all of them, and
// the origins of streams between all instances.
//
// Messages are UDP datagrams without encryption, like the platform's links
// meant for an isolated network: they hold no caller's data but the sizes and
// names of prompts' parts, and a forged one can at worst misplace load.
package broker

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/codec"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/safe"
)

const (
	// askTimeout is how long a broker may take to answer. In a data centre it
	// takes a millisecond or two; waiting longer costs more than a decision
	// from older loads.
	askTimeout = 20 * time.Millisecond
	// resentEvents is the number of earlier events that each message carries
	// again, in case the datagrams with them were lost.
	resentEvents = 3
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 16 << 10
	// maxAskBytes bounds a request, which shares its datagram with events.
	maxAskBytes = maxDatagram / 2
	// maxTextBytes bounds names and identifiers in a message.
	maxTextBytes = 512
	// maxListItems bounds the lists in a message.
	maxListItems = 1024
	// maxReplyTime and maxReplyTokens bound the values of a reply: sums with them must not
	// overflow.
	maxReplyTime   = 24 * time.Hour
	maxReplyTokens = 1 << 40
	// muteTime is how long a sender isn't heard after a message of it made the handler
	// panic.
	muteTime = time.Second
)

// Errors of Ask.
var (
	ErrNoReply = errors.New("the broker didn't answer in time")
	errMessage = errors.New("malformed message")
	// ErrUnfit means that the request wasn't sent, since the broker would refuse to read
	// it. That says nothing of the broker.
	ErrUnfit = errors.New("the request doesn't fit into a message")
)

// Handler serves the messages of other instances.
type Handler interface {
	// Place schedules a request of another instance. Without a decision there
	// is no reply.
	Place(r *proto.PlaceRequest) (proto.PlaceReply, bool)
	// Apply records an event of a request that was placed here.
	Apply(e *proto.PlaceEvent)
	// Remember records the origins of streams of other instances.
	Remember(origins []proto.StreamOrigin)
	// LearnLimits takes what other instances have just heard of limits.
	LearnLimits(limits []proto.ServerLimit)
	// LearnNotices takes what servers have just told other instances of themselves.
	LearnNotices(notices []proto.ServerNotice)
	// Origin returns the origin of a stream.
	Origin(id string) (proto.StreamOrigin, bool)
}

// Conn sends and receives the messages.
type Conn struct {
	name  string
	udp   *net.UDPConn
	meter *meter.Registry

	mutex   sync.Mutex
	waiting map[string]chan *proto.PlaceReply  // by request
	finding map[string][]chan *proto.FindReply // by stream
	recent  map[string][]proto.PlaceEvent      // last events sent, by address

	muted map[netip.AddrPort]time.Time // senders that aren't heard, until when; used by Serve only
}

// Listen opens the socket of an instance. Address is that of its links; the
// messages use the next port.
func Listen(ctx context.Context, name, address string, m *meter.Registry) (*Conn, func(), error) {
	at, err := socketAddress(address)
	if err != nil {
		return nil, nil, boot.WithExitCode(boot.ExitAddress, err)
	}
	var config net.ListenConfig
	p, err := config.ListenPacket(ctx, "udp4", at.String())
	if err != nil {
		return nil, nil, boot.WithExitCode(boot.ExitAddress, fmt.Errorf("listen for scheduling requests: %w", err))
	}
	udp, ok := p.(*net.UDPConn)
	if !ok {
		_ = p.Close()
		return nil, nil, fmt.Errorf("listen for scheduling requests: got %T", p)
	}
	c := &Conn{
		name: name, udp: udp, meter: m, waiting: make(map[string]chan *proto.PlaceReply),
		finding: make(map[string][]chan *proto.FindReply), recent: make(map[string][]proto.PlaceEvent),
		muted: make(map[netip.AddrPort]time.Time),
	}
	return c, func() { _ = udp.Close() }, nil
}

// socketAddress returns the address of an instance's socket, given that of its
// links.
func socketAddress(link string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(link)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("link address %q: %w", link, err)
	}
	return netip.AddrPortFrom(a.Addr(), a.Port()+1), nil
}

// Serve reads messages until ctx ends.
func (c *Conn) Serve(ctx context.Context, h Handler) {
	stop := context.AfterFunc(ctx, func() { _ = c.udp.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := c.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			c.meter.Count("broker", "read_failed") // an ICMP error of an earlier datagram
			continue
		}
		c.receive(h, buffer[:n], from)
	}
}

// receive handles a datagram. A sender whose datagram makes its handler panic isn't heard
// for a while: the next ones may do the same.
func (c *Conn) receive(h Handler, b []byte, from netip.AddrPort) {
	now := time.Now()
	if until, muted := c.muted[from]; muted {
		if now.Before(until) {
			c.meter.Count("broker", "muted")
			return
		}
		delete(c.muted, from)
	}
	m, err := decode(b)
	if err != nil {
		c.meter.Count("broker", "malformed")
		klog.InfoS("malformed datagram", "from", from, "bytes", len(b), "err", err)
		return
	}
	if safe.Run(c.meter, "broker", from.String(), func() { c.handle(h, m, from) }) {
		return
	}
	if len(c.muted) >= maxListItems {
		clear(c.muted)
	}
	c.muted[from] = now.Add(muteTime)
}

// decode decodes and checks a message.
func decode(b []byte) (*proto.PlaceMessage, error) {
	var m proto.PlaceMessage
	if err := codec.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	if len(m.From) > maxTextBytes || !validEvents(m.Events) || !validOrigins(&m) || !validLimits(m.Limits) || !validNotices(m.Notices) {
		return nil, errMessage
	}
	if r := m.Ask; r != nil && !validRequest(r) {
		return nil, errMessage
	}
	if r := m.Reply; r != nil && !validReply(r) {
		return nil, errMessage
	}
	return &m, nil
}

func validEvents(list []proto.PlaceEvent) bool {
	return len(list) <= maxListItems && !slices.ContainsFunc(list, func(e proto.PlaceEvent) bool {
		return !validTexts(e.ID, e.Engine) || e.Took < 0 || e.Since < 0
	})
}

func validLimits(list []proto.ServerLimit) bool {
	return len(list) <= maxListItems && !slices.ContainsFunc(list, func(l proto.ServerLimit) bool {
		return !validTexts(l.Server) || !(l.Rate >= 0) || math.IsInf(l.Rate, 0) || l.Age < 0
	})
}

func validNotices(list []proto.ServerNotice) bool {
	return len(list) <= maxListItems && !slices.ContainsFunc(list, func(n proto.ServerNotice) bool {
		return !validTexts(n.Server, n.Start) || n.Age < 0
	})
}

// validTexts reports whether all texts can be in a message: receivers refuse a message as a
// whole for one that isn't UTF-8, such as an ID that a caller chose.
func validTexts(list ...string) bool {
	return !slices.ContainsFunc(list, func(text string) bool { return len(text) > maxTextBytes || !utf8.ValidString(text) })
}

func validRequest(r *proto.PlaceRequest) bool {
	if r.ID == "" || !validTexts(r.ID, r.Pool) || r.Build != nil && !validTexts(*r.Build) || len(r.Parts) > maxListItems || len(r.Avoid) > maxListItems {
		return false
	}
	if r.Tokens < 0 || r.MaxOutput < 0 || r.Hint < 0 || min(r.Target, r.GapTarget, r.TimeLeft) < 0 {
		return false
	}
	sum := 0
	for _, p := range r.Parts {
		if p.Tokens < 0 || !validTexts(p.ID) {
			return false
		}
		sum += p.Tokens
	}
	return sum >= 0
}

// validReply allows small negative values, which differences of loads may give.
func validReply(r *proto.PlaceReply) bool {
	for _, d := range []time.Duration{r.Expected, r.QueueWait, r.RetryAfter, r.Margin, r.Limit} {
		if d.Abs() > maxReplyTime {
			return false
		}
	}
	tokens := max(r.PrefillTokens, -r.PrefillTokens, r.QueuedTokens, -r.QueuedTokens)
	return validTexts(r.ID, r.Prefill, r.Decode, r.Fetch) && r.PrefillTokens > math.MinInt && r.QueuedTokens > math.MinInt && tokens <= maxReplyTokens
}

// handle serves one message.
func (c *Conn) handle(h Handler, m *proto.PlaceMessage, from netip.AddrPort) {
	for i := range m.Events {
		m.Events[i].Sender = m.From
		h.Apply(&m.Events[i])
	}
	if m.Reply != nil {
		c.mutex.Lock()
		w := c.waiting[m.Reply.ID]
		c.mutex.Unlock()
		if w == nil {
			c.meter.Count("broker", "late_reply")
			return
		}
		select {
		case w <- m.Reply:
		default: // a second reply to one request
		}
	}
	if len(m.Limits) > 0 {
		h.LearnLimits(m.Limits)
	}
	if len(m.Notices) > 0 {
		h.LearnNotices(m.Notices)
	}
	if len(m.Origins) > 0 {
		h.Remember(m.Origins)
	}
	if m.Find != "" {
		reply := &proto.FindReply{ID: m.Find}
		if o, known := h.Origin(m.Find); known {
			reply.Origin = &o
		}
		c.send(from, &proto.PlaceMessage{From: c.name, Found: reply})
	}
	if m.Found != nil {
		c.found(m.Found)
	}
	if m.Ask != nil {
		if reply, ok := h.Place(m.Ask); ok {
			c.send(from, &proto.PlaceMessage{From: c.name, Reply: &reply})
		}
	}
}

// send sends a message. What isn't sent counts as lost.
func (c *Conn) send(to netip.AddrPort, m *proto.PlaceMessage) {
	b, err := codec.Marshal(m)
	if err == nil && len(b) <= maxDatagram {
		_, err = c.udp.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		c.meter.Count("broker", "not_sent")
	}
}

// Ask asks a broker, given by its link address, to place a request.
func (c *Conn) Ask(ctx context.Context, link string, r *proto.PlaceRequest) (*proto.PlaceReply, error) {
	to, err := socketAddress(link)
	if err != nil {
		return nil, err
	}
	if b, err := codec.Marshal(r); err != nil || len(b) > maxAskBytes || !validRequest(r) {
		return nil, ErrUnfit
	}
	answer := make(chan *proto.PlaceReply, 1)
	c.mutex.Lock()
	c.waiting[r.ID] = answer
	m := &proto.PlaceMessage{From: c.name, Ask: r, Events: c.recent[link]}
	c.mutex.Unlock()
	defer func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.waiting, r.ID)
	}()
	c.send(to, m)
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case reply := <-answer:
		return reply, nil
	case <-timer.C:
		return nil, ErrNoReply
	case <-ctx.Done():
		return nil, fmt.Errorf("ask the broker: %w", context.Cause(ctx))
	}
}

// TellLimits tells a broker, given by its link address, what servers have just said of
// their limits. It isn't repeated: the next answers say it again.
func (c *Conn) TellLimits(link string, limits []proto.ServerLimit) {
	to, err := socketAddress(link)
	if err != nil {
		c.meter.Count("broker", "not_sent")
		return
	}
	c.send(to, &proto.PlaceMessage{From: c.name, Limits: limits})
}

// TellNotices tells a broker, given by its link address, what servers have just said of
// themselves. It isn't repeated: the leader's replies say it as well.
func (c *Conn) TellNotices(link string, notices []proto.ServerNotice) {
	to, err := socketAddress(link)
	if err != nil {
		c.meter.Count("broker", "not_sent")
		return
	}
	c.send(to, &proto.PlaceMessage{From: c.name, Notices: notices})
}

// Tell tells a broker, given by its link address, what happened to a request
// that it placed.
func (c *Conn) Tell(link string, e *proto.PlaceEvent) {
	to, err := socketAddress(link)
	if err != nil {
		c.meter.Count("broker", "not_sent")
		return
	}
	c.mutex.Lock()
	recent := c.recent[link]
	events := append(slices.Clone(recent[max(0, len(recent)+1-resentEvents):]), *e)
	if len(c.recent) > maxListItems {
		clear(c.recent)
	}
	c.recent[link] = events
	c.mutex.Unlock()
	c.send(to, &proto.PlaceMessage{From: c.name, Events: events})
}
