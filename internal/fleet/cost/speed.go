package cost

import (
	"math"
	"time"
)

const (
	// minPace and maxPace bound the pace of an endpoint. Endpoints are expected between
	// 0.6 and 4 (a slow one on a busy machine); beyond that a report is a fault.
	minPace, maxPace = 0.25, 5.0
	// freshReport is the age at which a reported pace has half of its weight. Endpoints
	// change it many times a second, and slow phases last part of a second.
	freshReport = 100 * time.Millisecond
	// speedMaxAge is the age at which a pace has faded to 1, so that a slow endpoint
	// is tried again.
	speedMaxAge = 3 * time.Second
	// measuredWeight is the weight of a new measured time. It is high since the speed
	// of an endpoint changes within a second.
	measuredWeight = 0.25
	// reportWeight is the weight of a new report in the usual pace of an endpoint.
	reportWeight = 0.1
	// minMeasured is the number of measured times from which on they are used.
	minMeasured = 3
	// minSlower and maxFaster are the deviations from the usual time up to which an
	// endpoint counts as equally fast, and a class as equally much work: averages of
	// equal endpoints differ by as much.
	minSlower, maxFaster = 1.25, 0.8
	// noiseWeight is the weight of a new sample in the variation of an endpoint's times,
	// and noiseFactor the multiple of it up to which their average is no sign of another
	// speed: the average varies by 0.47 of the mean variation, so that this is 2.5 times
	// its standard deviation.
	noiseWeight = 0.1
	noiseFactor = 1.2
)

// Speed is what is known about the speed of one endpoint: the paces that it reported,
// and the times of its answers relative to the usual time multiplied by the reported
// pace. If the reports are right, these ratios are about 1; if they are wrong, or tell
// the pace relative to the endpoint's own usual speed, the ratios correct them. The zero
// value knows nothing.
type Speed struct {
	reported   float64
	reportedAt time.Time
	usual      Average
	ratios     Average
	noise      float64 // mean absolute deviation of the logarithms of the ratios
	band       float64 // ratio up to which the endpoint counts as equally fast
	measuredAt time.Time
}

// WithReport returns the speed with a pace that the endpoint reported. Paces that are
// not positive are ignored.
func (s Speed) WithReport(pace float64, now time.Time) Speed {
	if !(pace > 0) {
		return s
	}
	s.reported, s.reportedAt = clampPace(pace), now
	s.usual = s.usual.With(s.reported, reportWeight)
	return s
}

// WithTime returns the speed with the time of an answered request relative to the usual
// time of its class.
func (s Speed) WithTime(ratio float64, now time.Time) Speed {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return s
	}
	ratio /= s.Reported(now)
	if s.ratios.count > 0 {
		deviation := min(math.Abs(math.Log(ratio/s.ratios.value)), math.Log(maxPace))
		s.noise += max(noiseWeight, 1/float64(s.ratios.count)) * (deviation - s.noise)
	}
	s.band = max(minSlower, math.Exp(noiseFactor*s.noise))
	s.ratios = s.ratios.With(ratio, measuredWeight)
	s.measuredAt = now
	return s
}

// Reported returns the pace according to the endpoint's reports: the latest one while it
// is fresh, later the usual one, and 1 in the end or without reports.
func (s Speed) Reported(now time.Time) float64 {
	if s.reported == 0 {
		return 1
	}
	age := now.Sub(s.reportedAt)
	if age >= speedMaxAge {
		return 1
	}
	usual := fade(s.usual.value, age)
	relative := max(0, float64(age)/float64(freshReport))
	return usual + (s.reported-usual)/(1+relative*relative)
}

// Reports tells whether the endpoint reported its pace recently.
func (s Speed) Reports(now time.Time) bool {
	return s.reported != 0 && now.Sub(s.reportedAt) < speedMaxAge
}

// Pace returns how much longer work takes at the endpoint than usual: 1 as long as
// usual, or unknown, 2 twice as long.
func (s Speed) Pace(now time.Time) float64 {
	pace := s.Reported(now)
	if s.ratios.count >= minMeasured && (s.ratios.value > s.band || s.ratios.value*s.band < 1) {
		pace *= fade(s.ratios.value, now.Sub(s.measuredAt))
	}
	return clampPace(pace)
}

func deviates(ratio float64) bool { return ratio > minSlower || ratio < maxFaster }

// fade returns a pace that approaches 1 with its age.
func fade(pace float64, age time.Duration) float64 {
	if age >= speedMaxAge {
		return 1
	}
	return 1 + (pace-1)*(1-float64(max(0, age))/float64(speedMaxAge))
}

func clampPace(pace float64) float64 { return min(max(pace, minPace), maxPace) }
