package priority

import (
	"math"
	"slices"
)

const (
	// tokensPerEvent converts the hints of callers until texts have ended.
	tokensPerEvent = 50
	// usualLength is the assumed length in events until texts have ended.
	usualLength = 20
	// meanWeight is the weight of the mean length against that of the hint. The error
	// of the hints has a spread of about 0.5, the lengths one of about 0.84, so that a
	// quarter of a hint's distance from the mean is error.
	meanWeight = 0.25
	// hintSpread and lengthSpread are the logarithmic spreads that are assumed until
	// texts have ended.
	hintSpread   = 0.5
	lengthSpread = 0.84
	// outlivedShare is the expected rest of a text that is longer than nearly all that
	// have ended, as a share of its length so far.
	outlivedShare = 0.25
	// averageWeight is the weight of one text in the moving average of lengths.
	averageWeight = 0.02
)

// Lengths learns the lengths of the texts of a model and route, in events. It is not
// safe for concurrent use.
type Lengths struct {
	meanLog float64 // of the lengths
	hinted  *sample // lengths in relation to the estimate from the hint
	unknown *sample // lengths in relation to the usual length
}

// NewLengths returns a Lengths that has seen no text.
func NewLengths() *Lengths {
	return &Lengths{meanLog: math.Log(usualLength), hinted: newSample(hintSpread), unknown: newSample(lengthSpread)}
}

// Observe records the length of a complete text, whose caller expected hint tokens; 0
// when there was no hint.
func (l *Lengths) Observe(hint int64, events int) {
	if events <= 0 {
		return
	}
	l.unknown.add(float64(events) / usualLength)
	if hint > 0 {
		l.hinted.add(float64(events) / l.scale(hint))
	}
	l.meanLog += averageWeight * (math.Log(float64(events)) - l.meanLog)
}

// scale returns the length that the hint and the mean suggest.
func (l *Lengths) scale(hint int64) float64 {
	if hint <= 0 {
		return usualLength
	}
	fromHint := math.Log(float64(hint) / tokensPerEvent)
	return max(1, math.Exp(fromHint+meanWeight*(l.meanLog-fromHint)))
}

// Remaining returns the expected number of further events of a text that has some
// already: what the longer ones of the texts that have ended had beyond this number.
func (l *Lengths) Remaining(hint int64, events int) float64 {
	s, scale := l.unknown, l.scale(hint)
	if hint > 0 {
		s = l.hinted
	}
	return max(1, scale*s.excess(float64(events)/scale))
}

const (
	// sampleSize is the number of texts from which the distribution is known.
	sampleSize = 256
	// sampleRefresh is the number of new values after which they are used.
	sampleRefresh = 16
	// minLonger is the number of longer texts from which their mean is used.
	minLonger = 4
)

// sample holds the latest values of a quantity.
type sample struct {
	values []float64 // a ring
	next   int
	fresh  int       // values since the last refresh
	sorted []float64 // ascending
	above  []float64 // sum of the values from each index on
}

// newSample returns a sample with the values of a log-normal distribution around 1.
func newSample(spread float64) *sample {
	s := &sample{values: make([]float64, sampleSize)}
	for i := range s.values {
		// The order of replacement is spread over the distribution.
		share := (float64(i*97%sampleSize) + 0.5) / sampleSize
		s.values[i] = math.Exp(spread * math.Sqrt2 * math.Erfinv(2*share-1))
	}
	s.refresh()
	return s
}

func (s *sample) add(value float64) {
	s.values[s.next] = value
	s.next = (s.next + 1) % len(s.values)
	if s.fresh++; s.fresh >= sampleRefresh {
		s.refresh()
	}
}

func (s *sample) refresh() {
	s.fresh = 0
	s.sorted = append(s.sorted[:0], s.values...)
	slices.Sort(s.sorted)
	s.above = append(s.above[:0], s.sorted...)
	for i := len(s.above) - 2; i >= 0; i-- {
		s.above[i] += s.above[i+1]
	}
}

// excess returns by how much the larger values exceed x on average.
func (s *sample) excess(x float64) float64 {
	at, _ := slices.BinarySearch(s.sorted, x)
	longer := len(s.sorted) - at
	if longer < minLonger {
		return outlivedShare * x
	}
	return s.above[at]/float64(longer) - x
}
