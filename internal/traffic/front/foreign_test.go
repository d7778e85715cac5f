package front

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// streamEvents returns the events of the test stream from one to another.
func streamEvents(from, to int) string {
	var out strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&out, "id: %d\ndata: x%d\n\n", n, n)
	}
	return out.String()
}

// head returns the head of an answer with the given status line and fields.
func head(status string, fields ...string) string {
	fields = append([]string{"HTTP/1.1 " + status, names.Request + ": id-x", names.Stamp + ": proof"}, fields...)
	return strings.Join(fields, "\r\n") + "\r\n\r\n"
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// errorHead and the texts after it are what an endpoint may write when it fails
// while it answers.
const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\noops\n\n"

// brokenStreams are answers that break off after event 2 of 4.
var brokenStreams = map[string]string{
	"chunked, within an event":     head("200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + chunk(streamEvents(1, 2)) + "20\r\nid: 3\nda",
	"chunked, then a head":         head("200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + chunk(streamEvents(1, 2)) + errorHead,
	"a head in a chunk":            head("200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + chunk(streamEvents(1, 2)) + chunk(errorHead) + "0\r\n\r\n",
	"with a length":                head("200 OK", "Content-Type: text/event-stream", "Content-Length: 500") + streamEvents(1, 2),
	"with a length, then a head":   head("200 OK", "Content-Type: text/event-stream", fmt.Sprintf("Content-Length: %d", len(streamEvents(1, 2)+errorHead))) + streamEvents(1, 2) + errorHead,
	"unframed, within an event":    head("200 OK", "Content-Type: text/event-stream") + streamEvents(1, 2) + "id: 3\nda",
	"unframed, then a head":        head("200 OK", "Content-Type: text/event-stream") + streamEvents(1, 2) + errorHead,
	"unframed, a head in an event": head("200 OK", "Content-Type: text/event-stream") + streamEvents(1, 2) + "id: 3\nda" + errorHead,
	"unframed, a head in data":     head("200 OK", "Content-Type: text/event-stream") + streamEvents(1, 2) + "id: 3\ndata: x" + errorHead,
	"unframed, a text":             head("200 OK", "Content-Type: text/event-stream") + streamEvents(1, 2) + "upstream failed\n\n",
	"unframed, a named text":       head("200 OK", "Content-Type: text/event-stream") + streamEvents(1, 2) + "error: upstream failed\n\n",
	"unframed, an object":          head("200 OK", "Content-Type: text/event-stream") + streamEvents(1, 2) + "{\"error\":\"upstream failed\"}\n\n",
	"events come again":            head("200 OK", "Content-Type: text/event-stream") + streamEvents(1, 2) + streamEvents(2, 4),
}

// errorAnswers are the answers of the endpoint at which the stream is to go on, each
// of which goes on with nothing.
var errorAnswers = map[string]string{
	"500":                    head("500 Internal Server Error", "Content-Length: 6") + "oops\n\n",
	"500 with events":        head("500 Internal Server Error", "Content-Type: text/event-stream", "Content-Length: 14") + "data: failed\n\n",
	"503 not run":            head("503 Service Unavailable", names.Rejected+": 1", "Content-Length: 6") + "full\n\n",
	"404":                    head("404 Not Found", "Content-Length: 6") + "none\n\n",
	"422":                    head("422 Unprocessable Entity", "Content-Length: 6") + "never\n",
	"redirect":               head("302 Found", "Location: /", "Content-Length: 6") + "gone\n\n",
	"300":                    head("300 Multiple Choices", "Content-Length: 6") + "many\n\n",
	"page with status 200":   head("200 OK", "Content-Type: text/html", "Content-Length: 16") + "<p>failed</p>\n\n\n",
	"object with status 200": head("200 OK", "Content-Type: application/json", "Content-Length: 15") + "{\"error\":true}\n",
	"no content":             head("204 No Content"),
	"from the start":         head("200 OK", "Content-Type: text/event-stream") + streamEvents(1, 4),
	"with a gap":             head("200 OK", "Content-Type: text/event-stream") + streamEvents(4, 4),
	"no stamp":               "HTTP/1.1 200 OK\r\n" + names.Request + ": id-x\r\nContent-Length: 18\r\n\r\n" + streamEvents(3, 3),
	"no answer":              "",
	"no HTTP":                "failed\r\n\r\n",
	"half a head":            "HTTP/1.1 200 OK\r\n" + names.Request + ": id-x\r\n" + names.Stamp + ": pro",
}

// rawEndpoint writes the texts of an answer in turn, the last one again and again. Of
// "rest" it makes the events that are missing.
func rawEndpoint(texts ...string) http.HandlerFunc {
	var runs atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		text := texts[min(int(runs.Add(1)), len(texts))-1]
		if text == "rest" {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			text = head("200 OK", "Content-Type: text/event-stream") + streamEvents(last+1, 4)
		}
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = out.WriteString(text) // fails only if the caller is gone
		_ = out.Flush()
		_ = conn.Close()
	}
}

// Guards against a stream in which a caller finds the text or the head of an error,
// events twice, or an end that looks complete, since the stream had begun, broke off
// and the next endpoint answered with something else.
func TestBrokenStreamCarriesNoForeignBytes(t *testing.T) {
	for name, first := range brokenStreams {
		t.Run(name, func(t *testing.T) {
			for next, text := range errorAnswers {
				fx := newFixture(t, rawEndpoint(first, text))
				status, _, body, err := fx.call(t, http.MethodPost, "/stream/a", "", "x")
				if status != 200 || err == nil || body != streamEvents(1, 2) {
					t.Errorf("then %s: status %d, body %q, error %v, want events 1 and 2 and a broken connection", next, status, body, err)
				}
			}
			fx := newFixture(t, rawEndpoint(first, "rest"))
			status, _, body, err := fx.call(t, http.MethodPost, "/stream/a", "", "x")
			if status != 200 || err != nil || body != streamEvents(1, 4) {
				t.Errorf("then the rest: status %d, body %q, error %v, want events 1 to 4", status, body, err)
			}
		})
	}
}
