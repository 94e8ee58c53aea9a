package route

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/engine"
)

// BytesPerToken is the estimated number of bytes of text per token, used
// because the router has no tokenizer.
const BytesPerToken = 4

const blockBytes = engine.BlockTokens * BytesPerToken

// Bounds of the index of one engine, whose events may come without end: the blocks of 32
// million tokens, each named by a hash.
const (
	maxBlocks    = 1 << 14
	maxBlockName = 64
)

// EstimateTokens estimates the number of tokens of a text.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// BlockHashes returns the chained hashes of the full prefix cache blocks of a
// prompt: equal hashes at a position mean equal prompts up to the end of that
// block.
func BlockHashes(model, prompt string) []string {
	blocks := len(prompt) / blockBytes
	if blocks == 0 {
		return nil
	}
	hashes := make([]string, blocks)
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	for i := range hashes {
		_, _ = hash.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		hashes[i] = strconv.FormatUint(hash.Sum64(), 16)
	}
	return hashes
}

// PrefixIndex is an index of the prefix cache of one engine, built from its
// cache events.
type PrefixIndex struct {
	seq    uint64
	blocks map[string]struct{}
}

// Seq returns the sequence number of the last event applied; the next page
// starts after it.
func (p *PrefixIndex) Seq() uint64 { return p.seq }

// Apply applies a page of events. After a gap in the sequence the index is
// cleared, and Seq returns 0, which requests a full snapshot: a block whose
// removal was missed must not attract requests.
func (p *PrefixIndex) Apply(page engine.CacheEvents) {
	if page.Snapshot || page.Seq < p.seq {
		p.blocks = nil
		p.seq = page.Seq
		for _, e := range page.Events {
			p.applyEvent(e)
		}
		return
	}
	for _, e := range page.Events {
		if e.Seq <= p.seq {
			continue
		}
		if e.Seq != p.seq+1 && p.seq != 0 {
			p.reset()
			return
		}
		p.seq = e.Seq
		p.applyEvent(e)
	}
	if page.Seq > p.seq {
		p.reset()
	}
}

// reset clears the index after a gap in the sequence of events.
func (p *PrefixIndex) reset() {
	p.blocks, p.seq = nil, 0
}

func (p *PrefixIndex) applyEvent(e engine.CacheEvent) {
	if !e.Added {
		delete(p.blocks, e.Block)
		return
	}
	if len(p.blocks) >= maxBlocks || len(e.Block) > maxBlockName {
		return // the engine gets fewer requests than it could
	}
	if p.blocks == nil {
		p.blocks = make(map[string]struct{})
	}
	p.blocks[e.Block] = struct{}{}
}

// CachedBlocks returns the number of leading blocks that the cache holds.
func (p *PrefixIndex) CachedBlocks(blocks []string) int {
	for i, block := range blocks {
		if _, ok := p.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}
