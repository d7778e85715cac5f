// Package scorer is the client of scoring services, which rate samples.
// A score request may be retried.
//
// # Usage
//
//	client := scorer.New(settings.Scorer, http.DefaultClient)
//	scores, err := client.Score(ctx, []scorer.Sample{{ID: "t/1/0/0", Prompt: "2+2=", Text: "4"}})
package scorer

import (
	"context"
	"math"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

// Sample is a text to be rated. Its ID must be unique within a request.
type Sample struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

type scoreRequest struct {
	Samples []Sample `json:"samples"`
}

type scoreAnswer struct {
	Scores []score `json:"scores"`
}

type score struct {
	ID    string   `json:"id"`
	Score *float64 `json:"score"`
}

// Client calls one scoring service.
type Client struct {
	address string
	client  *http.Client
}

// New returns a client.
func New(address string, client *http.Client) *Client {
	return &Client{address: address, client: client}
}

// Score returns the scores in the order of the samples. An answer that lacks a
// sample, contains one twice or has a score that is not finite is an error.
func (c *Client) Score(ctx context.Context, samples []Sample) ([]float64, error) {
	answer, err := codec.Call[scoreAnswer](ctx, c.client, http.MethodPost,
		"http://"+c.address+"/v1/score", nil, scoreRequest{samples})
	if err != nil {
		return nil, eris.Wrap(err, "score")
	}
	byID := make(map[string]float64, len(answer.Scores))
	for _, s := range answer.Scores {
		if _, duplicate := byID[s.ID]; duplicate || s.Score == nil || math.IsInf(*s.Score, 0) {
			return nil, code.New(code.ScoreFailed, "the score of sample %s is missing, infinite or given twice", s.ID)
		}
		byID[s.ID] = *s.Score
	}
	scores := make([]float64, 0, len(samples))
	for _, s := range samples {
		value, ok := byID[s.ID]
		if !ok {
			return nil, code.New(code.ScoreFailed, "sample %s has no score", s.ID)
		}
		scores = append(scores, value)
	}
	return scores, nil
}
