package ratelimit

import (
	"encoding/json"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

// topic is the broadcast topic for limits that endpoints name.
const topic = "limit"

const (
	// newsTime is how long news of a limit are passed on, and newsInterval the time
	// between two news of the same one.
	newsTime     = 30 * time.Second
	newsInterval = 20 * time.Second
	// newsPause is how long after the end of a limit news of it are ignored, since they
	// may have been sent before.
	newsPause = time.Second
)

// news tells other processes of a limit. Their requests to the endpoint ask for permits
// then, before an answer has told them. The end of a limit is no news: whoever asks is
// told.
type news struct {
	endpoint string
	born     int64
	zone     string
	rate     float64
}

type newsBody struct {
	Born int64   `json:"born"`
	Zone string  `json:"zone"`
	Rate float64 `json:"rate"`
}

// dueNews returns the news of the limit of an endpoint that this process has to post,
// or news with rate 0.
func (l *Limiter) dueNews(r *record, now time.Duration) news {
	if r.limit.rate == 0 || (r.postedAt != 0 && now-r.postedAt < newsInterval) {
		return news{}
	}
	r.postedAt = now
	return news{endpoint: r.endpoint.ID, born: r.endpoint.Born, zone: r.endpoint.Zone, rate: r.limit.rate}
}

// post sends news to the other processes. No lock is held, since the broadcaster
// delivers them to this process too.
func (l *Limiter) post(n news) {
	if n.rate == 0 || l.seams.Post == nil {
		return
	}
	// Encoding a struct of numbers and strings cannot fail.
	body, _ := json.Marshal(newsBody{Born: n.born, Zone: n.zone, Rate: n.rate})
	l.seams.Post(topic, n.endpoint, body, newsTime)
}

// receiveNews records a limit that another process has learned of. The news may be as
// old as newsTime, so that the granting process does not take them for newer than what
// it has heard itself.
func (l *Limiter) receiveNews(id string, payload []byte) {
	var body newsBody
	if err := json.Unmarshal(payload, &body); err != nil || body.Rate <= 0 || id == "" {
		l.log.WithField(logs.Endpoint, id).Warn("invalid news of a limit ignored")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r, now := l.record(Endpoint{ID: id, Born: body.Born, Zone: body.Zone}), l.timers.Uptime()
	if r.endpoint.Born != body.Born {
		return
	}
	r.postedAt = now
	if r.limit.rate == 0 && (r.limit.endedAt == 0 || now-r.limit.endedAt > newsPause) {
		l.learn(r, clampRate(body.Rate), now-newsTime, "news")
	}
}
