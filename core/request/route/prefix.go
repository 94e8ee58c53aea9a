package route

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/engine"
)

// TokenBytes is the number of bytes of text that count as one token where no
// tokenizer is at hand.
const TokenBytes = 4

const pieceBytes = engine.PieceTokens * TokenBytes

// Tokens estimates the number of tokens of a text.
func Tokens(text string) int {
	return (len(text) + TokenBytes - 1) / TokenBytes
}

// Pieces returns the chained hashes of the whole pieces of a prompt: equal
// hashes at a position mean equal prompts up to there.
func Pieces(model, prompt string) []string {
	count := len(prompt) / pieceBytes
	if count == 0 {
		return nil
	}
	list := make([]string, count)
	d := xxhash.New()
	_, _ = d.WriteString(model)
	for i := range list {
		_, _ = d.WriteString(prompt[i*pieceBytes : (i+1)*pieceBytes])
		list[i] = strconv.FormatUint(d.Sum64(), 16)
	}
	return list
}

// Prefixes is what is known of the prefix cache of one engine.
type Prefixes struct {
	seq    uint64
	pieces map[string]struct{}
}

// Seq is the number of the last event taken. The next page is asked for from
// there.
func (p *Prefixes) Seq() uint64 { return p.seq }

// Take applies a page of events. After a gap everything known is dropped, and
// Seq asks for the whole content anew: a piece whose removal was missed must
// not attract requests.
func (p *Prefixes) Take(page engine.CacheEvents) {
	if page.Whole || page.Seq < p.seq {
		p.pieces = nil
		p.seq = page.Seq
		for _, e := range page.Events {
			p.apply(e)
		}
		return
	}
	for _, e := range page.Events {
		if e.Seq <= p.seq {
			continue
		}
		if e.Seq != p.seq+1 && p.seq != 0 {
			p.gap()
			return
		}
		p.seq = e.Seq
		p.apply(e)
	}
	if page.Seq > p.seq {
		p.gap()
	}
}

func (p *Prefixes) gap() {
	p.pieces, p.seq = nil, 0
}

func (p *Prefixes) apply(e engine.CacheEvent) {
	if !e.Added {
		delete(p.pieces, e.Piece)
		return
	}
	if p.pieces == nil {
		p.pieces = make(map[string]struct{})
	}
	p.pieces[e.Piece] = struct{}{}
}

// Cached returns how many leading pieces are in the cache.
func (p *Prefixes) Cached(pieces []string) int {
	for i, piece := range pieces {
		if _, ok := p.pieces[piece]; !ok {
			return i
		}
	}
	return len(pieces)
}
