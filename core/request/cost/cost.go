// Package cost learns the length of answers. Callers name an estimate that may be
// far off in one direction or missing, and the length decides how long an answer
// holds memory and a batch slot.
package cost

import (
	"math"
	"math/bits"
	"time"

	"verbenahaven.example/core/request/rank"
)

const (
	// halfLife is the time in which an observation loses half of its weight:
	// the mix of requests changes with shifts, not with bursts.
	halfLife = time.Minute
	// minWeight is the weight of observations below which nothing is estimated.
	minWeight = 16
	// maxKinds bounds the histograms that are kept.
	maxKinds = 256
	// binsPerOctave, minOctave and octaves give the bins of a histogram.
	binsPerOctave = 4
	minOctave     = -10
	octaves       = 32
	// highShare is the share of the answers that aren't longer than Estimate.High.
	highShare = 0.9
)

// Estimate is what is known of an answer's length in tokens.
type Estimate struct {
	Median int // 0 if nothing is known
	High   int // exceeded by one answer of ten
}

// Guess is what a request says of the length of its answer. Requests without an
// estimate are told apart by their limit, since short and long answers may share a
// pool.
type Guess struct {
	Tokens int
	Limit  bool // it is the limit: the caller named no estimate
}

// kind is a kind of answers: those of a pool with similar guesses.
type kind struct {
	pool  string
	bits  int // number of bits of the guess
	limit bool
}

func kindOf(pool string, g Guess) kind {
	return kind{pool: pool, bits: bits.Len(uint(max(g.Tokens, 0))), limit: g.Limit}
}

// histogram holds the logarithms of the ratios of lengths to guesses.
// Older observations weigh less.
type histogram struct {
	bins [octaves * binsPerOctave]float32
	sum  float64
	at   time.Time
}

// decay reduces the weights to those at a later time.
func (h *histogram) decay(now time.Time) {
	if passed := now.Sub(h.at); passed > 0 {
		factor := math.Exp2(-passed.Seconds() / halfLife.Seconds())
		for i := range h.bins {
			h.bins[i] *= float32(factor)
		}
		h.sum *= factor
		h.at = now
	}
}

// add adds an observation.
func (h *histogram) add(now time.Time, ratio float64) {
	h.decay(now)
	bin := int((math.Log2(ratio) - minOctave) * binsPerOctave)
	h.bins[min(max(bin, 0), len(h.bins)-1)]++
	h.sum++
}

// quantile returns the ratio that a share of the observations doesn't exceed.
func (h *histogram) quantile(share float64) float64 {
	left := share * h.sum
	for i, n := range h.bins {
		if left <= float64(n) && n > 0 {
			return math.Exp2((float64(i)+left/float64(n))/binsPerOctave + minOctave)
		}
		left -= float64(n)
	}
	return math.Exp2(minOctave + octaves)
}

// Lengths are the learned lengths of answers. It isn't safe for concurrent use.
type Lengths struct{ kinds map[kind]*histogram }

// New returns lengths of which nothing is known.
func New() *Lengths { return &Lengths{kinds: make(map[kind]*histogram)} }

// Observe records the length of a complete answer.
func (l *Lengths) Observe(now time.Time, pool string, g Guess, tokens int) {
	if tokens <= 0 {
		return
	}
	key := kindOf(pool, g)
	h := l.kinds[key]
	if h == nil {
		if len(l.kinds) >= maxKinds {
			delete(l.kinds, rank.Oldest(l.kinds, func(h *histogram) time.Time { return h.at }))
		}
		h = &histogram{at: now}
		l.kinds[key] = h
	}
	h.add(now, float64(tokens)/float64(max(g.Tokens, 1)))
}

// Estimate returns the expected length of an answer.
func (l *Lengths) Estimate(now time.Time, pool string, g Guess) Estimate {
	h := l.kinds[kindOf(pool, g)]
	if h == nil || h.sum*math.Exp2(-now.Sub(h.at).Seconds()/halfLife.Seconds()) < minWeight {
		return Estimate{}
	}
	scale := float64(max(g.Tokens, 1))
	return Estimate{
		Median: max(1, int(math.Round(scale*h.quantile(0.5)))),
		High:   max(1, int(math.Round(scale*h.quantile(highShare)))),
	}
}

// Errors counts how predicted lengths compare with observed ones.
type Errors struct {
	Near, Shorter, Longer int // within a factor of two, below it, above it
	AboveHigh             int // longer than Estimate.High
	Predicted, Observed   int // sums of tokens
}

// Add adds one answer for which a length was predicted. High is 0 if unknown.
func (e *Errors) Add(predicted, high, observed int) {
	switch {
	case 2*observed < predicted:
		e.Shorter++
	case observed > 2*predicted:
		e.Longer++
	default:
		e.Near++
	}
	if high > 0 && observed > high {
		e.AboveHigh++
	}
	e.Predicted += predicted
	e.Observed += observed
}
