package broker

import (
	"errors"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/codec"
	"verbenahaven.example/core/process/meter"
)

// panicking is a handler that can't handle the requests of one pool.
type panicking struct{ recorder }

func (p *panicking) Place(r *proto.PlaceRequest) (proto.PlaceReply, bool) {
	if r.Pool == "bad" {
		panic("a value that nobody expected")
	}
	return p.recorder.Place(r)
}

// A datagram that makes its handler panic must neither end the process nor keep the
// messages of other instances from being served, and its sender must not be heard at once
// again.
func TestDatagramThatPanicsEndsNothing(t *testing.T) {
	m := meter.New()
	c, cleanup, err := Listen(t.Context(), "a", "127.0.0.1:0", m)
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	encode := func(pool string) []byte {
		b, err := codec.Marshal(&proto.PlaceMessage{From: "b", Ask: &proto.PlaceRequest{ID: "1", Pool: pool}, Events: []proto.PlaceEvent{{Kind: proto.PlaceEnded, ID: "1"}}})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	bad, good := netip.MustParseAddrPort("127.0.0.1:9"), netip.MustParseAddrPort("127.0.0.1:10")
	h := &panicking{}
	c.receive(h, encode("bad"), bad)
	if n := m.Value("panic", "broker"); n != 1 {
		t.Fatalf("%d panics counted", n)
	}
	c.receive(h, encode("bad"), bad)
	c.receive(h, encode("good"), good)
	if n, muted := m.Value("panic", "broker"), m.Value("broker", "muted"); n != 1 || muted != 1 || len(h.events) != 2 {
		t.Fatalf("%d panics, %d datagrams not heard, %d events", n, muted, len(h.events))
	}
	c.muted[bad] = time.Now().Add(-time.Millisecond)
	c.receive(h, encode("good"), bad)
	if len(h.events) != 3 {
		t.Error("the sender isn't heard again")
	}
	c.receive(h, []byte("garbage"), good)
	if n := m.Value("broker", "malformed"); n != 1 {
		t.Errorf("%d malformed datagrams counted", n)
	}
}

// A caller's request that doesn't fit into a message must not look like the silence of the
// broker, which would be left alone for the requests of all other callers.
func TestUnfitRequestIsNotSent(t *testing.T) {
	c, cleanup, err := Listen(t.Context(), "a", "127.0.0.1:0", meter.New())
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	for name, r := range map[string]*proto.PlaceRequest{
		"long ID":      {ID: strings.Repeat("x", maxTextBytes+1)},
		"ID's bytes":   {ID: "r\xff"},
		"part's bytes": {ID: "1", Parts: []proto.PlacePart{{ID: "\xff"}}},
		"many parts":   {ID: "1", Parts: make([]proto.PlacePart, maxListItems+1)},
		"large parts":  {ID: "1", Parts: []proto.PlacePart{{ID: strings.Repeat("x", 400)}, {ID: strings.Repeat("y", maxTextBytes)}, {ID: strings.Repeat("z", 2*maxDatagram)}}},
		"overflow":     {ID: "1", Parts: []proto.PlacePart{{ID: "x", Tokens: 1 << 62}, {ID: "y", Tokens: 1 << 62}}},
	} {
		if _, err := c.Ask(t.Context(), "127.0.0.1:1000", r); !errors.Is(err, ErrUnfit) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A reply with values that can't be is refused, as a request is.
func TestHostileRepliesAreRefused(t *testing.T) {
	for name, r := range map[string]proto.PlaceReply{
		"endless wait": {ID: "1", QueueWait: math.MaxInt64},
		"least time":   {ID: "1", Expected: math.MinInt64},
		"least tokens": {ID: "1", QueuedTokens: math.MinInt},
		"most tokens":  {ID: "1", PrefillTokens: math.MaxInt},
		"long name":    {ID: "1", Decode: strings.Repeat("x", maxTextBytes+1)},
	} {
		b, err := codec.Marshal(&proto.PlaceMessage{From: "b", Reply: &r})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode(b); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
