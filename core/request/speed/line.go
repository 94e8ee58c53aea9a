package speed

import "verbenahaven.example/core/conn/proto"

// minAnswerVariance is the least variance of the number of answers within engines from
// which its effect on the gaps is estimated.
const minAnswerVariance = 0.25

// gapLine sums up gaps between events by the number of answers that ran: an engine's
// steps take longer the more it runs, which is independent of its machine.
type gapLine struct {
	gaps, answers, seconds         float64
	answersSquared, answersSeconds float64
}

// observe adds gaps outside slowdowns.
func (l *gapLine) observe(s *proto.EngineSpeed) {
	l.add(&gapLine{s.Gaps, s.Gaps * s.Answers, s.GapSeconds, s.Gaps * s.Answers * s.Answers, s.GapSeconds * s.Answers})
}

func (l *gapLine) add(other *gapLine) {
	l.gaps += other.gaps
	l.answers += other.answers
	l.seconds += other.seconds
	l.answersSquared += other.answersSquared
	l.answersSeconds += other.answersSeconds
}

// scale changes the weight of all gaps, and their times.
func (l *gapLine) scale(weight, seconds float64) {
	l.gaps *= weight
	l.answers *= weight
	l.answersSquared *= weight
	l.seconds *= seconds
	l.answersSeconds *= seconds
}

// deviations returns the sums of products of the deviations from the means: of the number
// of answers with itself, and with the time.
func (l *gapLine) deviations() (squares, products float64) {
	if l.gaps <= 0 {
		return 0, 0
	}
	return max(0, l.answersSquared-l.answers*l.answers/l.gaps), l.answersSeconds - l.answers*l.seconds/l.gaps
}

// gapFit is how a group's gaps depend on the number of answers. The slope is that within
// each engine: fast engines get more answers, which must not hide that they are fast.
type gapFit struct {
	sums              gapLine
	squares, products float64
}

// add adds the gaps of an engine.
func (f *gapFit) add(l *gapLine) {
	f.sums.add(l)
	squares, products := l.deviations()
	f.squares += squares
	f.products += products
}

// mean returns the gap at the mean number of answers.
func (f *gapFit) mean() float64 { return f.sums.seconds / f.sums.gaps }

// expected returns the time of other gaps. With too similar numbers of answers within
// engines, or gaps that get shorter with more, they don't depend on it.
func (f *gapFit) expected(other *gapLine) float64 {
	if f.sums.gaps <= 0 {
		return 0
	}
	slope, mean := 0.0, f.sums.answers/f.sums.gaps
	if f.squares > minAnswerVariance*f.sums.gaps {
		slope = min(max(0, f.products/f.squares), f.mean()/max(1, mean))
	}
	return (f.mean()-slope*mean)*other.gaps + slope*other.answers
}
