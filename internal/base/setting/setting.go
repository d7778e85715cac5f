// Package setting defines the JSON settings of an instance, with their defaults
// and validation. Durations are given in milliseconds.
//
// # Usage
//
//	settings, err := setting.Load("i-1.json")
//	if err != nil {
//		return err // names each field, its value and the allowed range
//	}
//	bound := setting.Milliseconds(settings.FreshnessMS)
package setting

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

// Settings configure one instance. All fields have defaults except those with
// the validation rule "required".
type Settings struct {
	ID       string `json:"id" validate:"required,max=64"`
	Zone     string `json:"zone" validate:"required,max=64"`
	Listen   string `json:"listen" validate:"required,tcp_addr"`
	Peer     string `json:"peer" validate:"required,tcp_addr"`
	Operator string `json:"operator" validate:"required,tcp_addr"`
	Platform string `json:"platform" validate:"required,tcp_addr"`
	// Capacity is the address at which endpoints are ordered. It defaults to
	// Platform.
	Capacity string `json:"capacity" validate:"omitempty,tcp_addr"`
	Intake   string `json:"intake" validate:"omitempty,tcp_addr"`
	Weights  string `json:"weights" validate:"omitempty,tcp_addr"`
	Scorer   string `json:"scorer" validate:"omitempty,tcp_addr"`
	// Secret authenticates the instances of one fleet to each other.
	Secret string `json:"secret" validate:"required,min=16,max=256"`
	// OperatorDigest is the SHA-256 of the operator key, in hexadecimal.
	OperatorDigest string `json:"operator_digest" validate:"required,hexadecimal,len=64"`
	// Seeds are peer addresses that are contacted at start-up when the platform
	// is down.
	Seeds []string `json:"seeds" validate:"dive,tcp_addr"`
	// Data is the data directory; it is empty on instances without a disk.
	Data string `json:"data"`
	Log  string `json:"log" validate:"oneof=debug info warning error"`
	// Policy is "fair", or "plain" as the baseline of comparative measurements.
	Policy string `json:"policy" validate:"oneof=fair plain"`

	FreshnessMS    int64 `json:"freshness_ms" validate:"min=500,max=60000"`
	ExchangeMS     int64 `json:"exchange_ms" validate:"min=50,max=10000"`
	ListLagMS      int64 `json:"list_lag_ms" validate:"min=100,max=60000"`
	ShareMS        int64 `json:"share_ms" validate:"min=100,max=10000"`
	ResendMS       int64 `json:"resend_ms" validate:"min=1000,max=3600000"`
	LeaseMS        int64 `json:"lease_ms" validate:"min=500,max=60000"`
	LeaseDrainMS   int64 `json:"lease_drain_ms" validate:"min=100,max=60000"`
	WindowMS       int64 `json:"window_ms" validate:"min=1000,max=3600000"`
	CopyMS         int64 `json:"copy_ms" validate:"min=1,max=10000"`
	SilenceMS      int64 `json:"silence_ms" validate:"min=500,max=60000"`
	IdleMS         int64 `json:"idle_ms" validate:"min=100,max=600000"`
	DrainDelayMS   int64 `json:"drain_delay_ms" validate:"min=0,max=60000"`
	DrainLimitMS   int64 `json:"drain_limit_ms" validate:"min=1000,max=3600000"`
	OrderMS        int64 `json:"order_ms" validate:"min=100,max=600000"`
	DeadlineMS     int64 `json:"deadline_ms" validate:"min=100,max=600000"`
	DeadlineMaxMS  int64 `json:"deadline_max_ms" validate:"min=100,max=3600000"`
	HeaderMS       int64 `json:"header_ms" validate:"min=100,max=60000"`
	BodyBytes      int64 `json:"body_bytes" validate:"min=1024,max=67108864"`
	StepBytes      int64 `json:"step_bytes" validate:"min=1024,max=268435456"`
	CellSize       int   `json:"cell_size" validate:"min=2,max=16"`
	SuspectMS      int64 `json:"suspect_ms" validate:"min=1000,max=3600000"`
	RetryPercent   int   `json:"retry_percent" validate:"min=0,max=100"`
	SuspectCrashes int   `json:"suspect_crashes" validate:"min=1,max=10"`
}

// Values of Settings.Policy.
const (
	PolicyFair  = "fair"
	PolicyPlain = "plain"
)

// Defaults returns settings with every default filled in.
func Defaults() Settings {
	return Settings{
		Log: "info", Policy: PolicyFair,
		FreshnessMS: 3000, ExchangeMS: 1000, ListLagMS: 5000, ShareMS: 1500,
		ResendMS: 60_000, LeaseMS: 5000, LeaseDrainMS: 2000, WindowMS: 60_000, CopyMS: 200,
		SilenceMS: 3000, IdleMS: 20_000, DrainDelayMS: 2000, DrainLimitMS: 600_000,
		OrderMS: 5000, DeadlineMS: 30_000, DeadlineMaxMS: 600_000, HeaderMS: 5000,
		BodyBytes: 1 << 20, StepBytes: 32 << 20, CellSize: 8,
		SuspectMS: 600_000, RetryPercent: 10, SuspectCrashes: 2,
	}
}

// Load reads the settings file at path and parses it as Parse does.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	return Parse(raw)
}

// Parse decodes settings on top of the defaults and validates the result.
func Parse(raw []byte) (Settings, error) {
	settings := Defaults()
	if err := codec.Decode(raw, &settings); err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	if err := Check(settings); err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	if settings.Capacity == "" {
		settings.Capacity = settings.Platform
	}
	return settings, settings.crossCheck()
}

// crossCheck validates the fields that limit each other.
func (s Settings) crossCheck() error {
	for _, limit := range []struct {
		low, high           string
		lowValue, highValue int64
	}{
		{"deadline_ms", "deadline_max_ms", s.DeadlineMS, s.DeadlineMaxMS},
		// Two exchanges must fit into the freshness bound, so that one lost
		// exchange does not make the state stale.
		{"exchange_ms", "half of freshness_ms", s.ExchangeMS, s.FreshnessMS / 2},
	} {
		if limit.lowValue > limit.highValue {
			return eris.Errorf("settings: field %q has value %d, must be at most %s (%d)",
				limit.low, limit.lowValue, limit.high, limit.highValue)
		}
	}
	return nil
}

// Milliseconds converts a settings field to a duration.
func Milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
