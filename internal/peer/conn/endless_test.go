package conn_test

import (
	"context"
	"errors"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
	"github.com/wigeonpin/wigeonpin/internal/peer/capacity"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
	"github.com/wigeonpin/wigeonpin/internal/peer/engine"
	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
	"github.com/wigeonpin/wigeonpin/internal/peer/scorer"
	"github.com/wigeonpin/wigeonpin/internal/peer/service"
	"github.com/wigeonpin/wigeonpin/internal/peer/weights"
	"github.com/wigeonpin/wigeonpin/internal/standin/flood"
)

const (
	// allocationLimit is the number of bytes that reading one faulty answer may
	// allocate, garbage included.
	allocationLimit = 64 << 20
	callTimeout     = 20 * time.Second
)

// endlessAnswers are answers without end: the start, and what is repeated.
var endlessAnswers = map[string]struct{ start, more string }{
	"status line":       {"HTTP/1.1 200 ", "O"},
	"no HTTP":           {"", "garbage "},
	"header value":      {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Line: value\r\n"},
	"interim answers":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"framed body":       {"HTTP/1.1 200 OK\r\nWigeonpin-Request: r1\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
	"chunked body":      {"HTTP/1.1 200 OK\r\nWigeonpin-Request: r1\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + block + "\r\n"},
	"unframed body":     {"HTTP/1.1 200 OK\r\nWigeonpin-Request: r1\r\n\r\n", "x"},
	"failure":           {"HTTP/1.1 500 Error\r\nWigeonpin-Request: r1\r\n\r\n", "x"},
	"lines of a stream": {"HTTP/1.1 200 OK\r\n\r\n", `{"request":"r1","text":"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx","tokens":0}` + "\n"},
	"tokens":            {"HTTP/1.1 200 OK\r\n\r\n", `{"request":"r1","text":"x","tokens":1}` + "\n"},
}

var block = string(make([]byte, 0x1000))

// endlessCalls are the calls of all clients of the stand-alone instance, and the call
// for permits, which both products make.
var endlessCalls = map[string]func(ctx context.Context, settings setting.Settings, address string) error{
	"generate": func(ctx context.Context, settings setting.Settings, address string) error {
		var text []string
		_, err := engine.New(settings, clock.NewSystem()).Generate(ctx, address, engine.Request{Request: "r1", MaxTokens: 100}, func(c engine.Chunk) error {
			text = append(text, c.Text)
			return nil
		})
		return err
	},
	"load report": func(ctx context.Context, settings setting.Settings, address string) error {
		_, err := engine.New(settings, clock.NewSystem()).LoadReport(ctx, address)
		return err
	},
	"call once": func(ctx context.Context, settings setting.Settings, address string) error {
		answer, err := service.New(settings).SendOnce(ctx, address, service.Request{ID: "r1", Method: http.MethodPost, Path: "/"})
		return closed(answer, err)
	},
	"pooled call": func(ctx context.Context, settings setting.Settings, address string) error {
		answer, err := service.New(settings).SendPooled(ctx, address, service.Request{ID: "r1", Method: http.MethodPost, Path: "/"})
		return closed(answer, err)
	},
	"score": func(ctx context.Context, settings setting.Settings, address string) error {
		_, err := scorer.New(address, &http.Client{Transport: conn.Transport(settings)}).Score(ctx, []scorer.Sample{{ID: "s"}})
		return err
	},
	"endpoints": func(ctx context.Context, settings setting.Settings, address string) error {
		_, err := capacity.New(address, &http.Client{Transport: conn.Transport(settings)}).Watch(ctx, 0, time.Second)
		return err
	},
	"weights": func(ctx context.Context, settings setting.Settings, address string) error {
		if err := weights.New(address, &http.Client{Transport: conn.Transport(settings)}).CheckStored(ctx, "t", 1); err != nil {
			return err
		}
		return errBodyNotRead
	},
	"objects": func(ctx context.Context, _ setting.Settings, address string) error {
		_, _, err := objects.New(address, clock.NewSystem()).Get(ctx, "config", "head")
		return err
	},
	"permits": func(ctx context.Context, _ setting.Settings, address string) error {
		ask, _ := ratelimit.Calls(conn.NewPeerClient(time.Second, 1))
		_, err := ask(ctx, member.Instance{Peer: address}, &ratelimit.AskRequest{})
		return err
	},
}

// errBodyNotRead is the outcome of a call that needs the head of its answer only.
var errBodyNotRead = errors.New("the body was not read")

// closed closes an answer whose remainder is left to the caller, who passes it on.
func closed(answer *service.Answer, err error) error {
	if err != nil {
		return err
	}
	defer answer.Close()
	if answer.Rest == nil {
		return nil
	}
	return errBodyNotRead
}

// Guards against a faulty server that sends bytes without end, in a head or in a body:
// the process that called it would run out of memory, and the requests of others in it
// would end as well.
func TestEndlessAnswersEndEachCall(t *testing.T) {
	for call, do := range endlessCalls {
		for name, answer := range endlessAnswers {
			t.Run(call+", "+name, func(t *testing.T) {
				address := flood.Start(t, answer.start, answer.more)
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				defer cancel()
				before := allocated()
				err := do(ctx, setting.Defaults(), address)
				if err == nil || ctx.Err() != nil {
					t.Errorf("error %v, want one before the deadline", err)
				}
				if grown := allocated() - before; grown > allocationLimit {
					t.Errorf("%d bytes allocated, want at most %d", grown, allocationLimit)
				}
			})
		}
	}
}

func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
