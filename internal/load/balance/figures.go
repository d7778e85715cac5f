package balance

import (
	"github.com/wigeonpin/wigeonpin/internal/load/generator"
	"github.com/wigeonpin/wigeonpin/internal/standin/trainer"
)

// Figures are the measured values of one run, by which two builds or settings
// are compared.
type Figures struct {
	// Whole is the share of requests with a whole response. Worst is the lowest
	// such share of a client account.
	Whole float64 `json:"whole"`
	Worst float64 `json:"worst"`
	// P99MS is the highest p99 latency of an account's whole responses.
	P99MS float64 `json:"p99_ms"`
	// RefusalMS is the highest p99 latency of an account's refusals.
	RefusalMS float64 `json:"refusal_ms"`
	Wrong     float64 `json:"wrong"`
	// Idle is the mean idle share of the trainers, Age the mean age of their
	// samples.
	Idle    float64 `json:"idle"`
	Age     float64 `json:"age"`
	Samples float64 `json:"samples"`
	Faulty  float64 `json:"faulty_samples"`
	// Price is the spend on endpoints per million tokens served.
	Price float64 `json:"price"`
	// Cheap is the share of endpoint time on cheap endpoints.
	Cheap float64 `json:"cheap"`
	// Unreported is the number of differences between the reported usage and what
	// was served.
	Unreported float64 `json:"unreported"`
}

// Figure describes one field of Figures and whether a higher value is better.
type Figure struct {
	Name           string
	HigherIsBetter bool
	Value          func(Figures) float64
}

// AllFigures returns all figures in display order.
func AllFigures() []Figure {
	return []Figure{
		{"whole", true, func(f Figures) float64 { return f.Whole }},
		{"worst", true, func(f Figures) float64 { return f.Worst }},
		{"p99_ms", false, func(f Figures) float64 { return f.P99MS }},
		{"refusal_ms", false, func(f Figures) float64 { return f.RefusalMS }},
		{"wrong", false, func(f Figures) float64 { return f.Wrong }},
		{"idle", false, func(f Figures) float64 { return f.Idle }},
		{"age", false, func(f Figures) float64 { return f.Age }},
		{"samples", true, func(f Figures) float64 { return f.Samples }},
		{"faulty_samples", false, func(f Figures) float64 { return f.Faulty }},
		{"price", false, func(f Figures) float64 { return f.Price }},
		{"cheap", true, func(f Figures) float64 { return f.Cheap }},
		{"unreported", false, func(f Figures) float64 { return f.Unreported }},
	}
}

// Measure returns the figures of a run from its loads and trainers, the number of
// differences that Compare found, the spend on endpoint time and the seconds of
// endpoint time by class.
func Measure(loads []*generator.Result, trainers []trainer.Summary, differences int, spend float64, seconds map[string]float64) Figures {
	f := Figures{Worst: 1, Unreported: float64(differences)}
	sent, whole, tokens := 0, 0, int64(0)
	for _, r := range loads {
		for _, c := range r.Accounts {
			sent, whole, tokens = sent+c.Sent, whole+c.Whole, tokens+int64(c.Tokens)
			if c.Sent > 0 {
				f.Worst = min(f.Worst, float64(c.Whole)/float64(c.Sent))
			}
			f.P99MS, f.RefusalMS = max(f.P99MS, c.P99MS), max(f.RefusalMS, c.RefusalP99MS)
		}
		f.Wrong += float64(r.Wrong())
	}
	f.Whole = ratio(float64(whole), float64(sent))
	for _, t := range trainers {
		tokens += t.Tokens
		f.Idle += t.IdleShare / float64(len(trainers))
		f.Age += t.MeanAge / float64(len(trainers))
		f.Samples += float64(t.Samples)
		f.Faulty += float64(t.Violations())
	}
	f.Price = ratio(spend*1e6, float64(tokens))
	total := 0.0
	for _, s := range seconds {
		total += s
	}
	f.Cheap = ratio(seconds["cheap"], total)
	return f
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
