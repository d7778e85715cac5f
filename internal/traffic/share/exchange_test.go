package share

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

// system is a number of processes whose digests reach each other after a delay, unless
// they are lost. Its clock is driven.
type system struct {
	rng       *rand.Rand
	timers    *clock.Service
	driver    *clock.Driver
	processes []*process
	loss      float64
	delay     time.Duration
	messages  int // digests sent
	inTransit []message
}

type message struct {
	at      time.Time
	from    int
	payload []byte
}

type process struct {
	exchange *Exchange
	receive  func(key string, payload []byte)
	slots    map[string]float64
	waits    bool
	paused   bool
}

func newSystem(count int) *system {
	s := &system{rng: rand.New(rand.NewPCG(3, 3)), delay: 30 * time.Millisecond}
	s.timers, s.driver = clock.NewDriven(time.Unix(1000, 0))
	for i := range count {
		p := &process{slots: map[string]float64{}}
		p.exchange = NewExchange(name(i), Seams{
			Members: func() int { return count },
			Post: func(_, _ string, payload []byte, _ time.Duration) {
				s.messages++
				s.inTransit = append(s.inTransit, message{s.timers.Now().Add(s.delay), i, payload})
			},
			Subscribe: func(_ string, receive func(string, []byte)) { p.receive = receive },
		}, s.timers)
		p.exchange.SetSource(func() (map[string]float64, bool) { return p.slots, p.waits })
		s.processes = append(s.processes, p)
	}
	return s
}

func name(i int) string { return fmt.Sprint("entry-", i) }

// run advances the clock. Each process ticks once in a period, at a time of its own.
func (s *system) run(length time.Duration) {
	const step = 10 * time.Millisecond
	steps := int(Period / step)
	for end := s.timers.Now().Add(length); s.timers.Now().Before(end); {
		s.driver.Advance(step)
		phase := int(s.timers.Now().UnixMilli()/step.Milliseconds()) % steps
		for i, p := range s.processes {
			if i%steps == phase && !p.paused {
				p.exchange.tick()
			}
		}
		s.deliver()
	}
}

func (s *system) deliver() {
	var rest []message
	for _, m := range s.inTransit {
		if m.at.After(s.timers.Now()) {
			rest = append(rest, m)
			continue
		}
		for _, p := range s.processes {
			if !p.paused && s.rng.Float64() >= s.loss {
				p.receive(name(m.from), m.payload)
			}
		}
	}
	s.inTransit = rest
}

// meanRemote returns the mean of what a process hears of an account over some seconds.
func (s *system) meanRemote(process int, account string, seconds int) float64 {
	sum := 0.0
	for range seconds {
		s.run(time.Second)
		sum += s.processes[process].exchange.RemoteSlots(account)
	}
	return sum / float64(seconds)
}

// Guards against processes that do not learn what a large account receives through the
// others, against a number of digests that grows with the square of the processes, and
// against messages while nothing waits.
func TestSharesAreKnownEverywhere(t *testing.T) {
	for _, count := range []int{6, 55, 360} {
		for _, loss := range []float64{0, 0.3} {
			t.Run(fmt.Sprintf("%d processes, loss %.1f", count, loss), func(t *testing.T) {
				s := newSystem(count)
				s.loss = loss
				const total = 60.0
				for _, p := range s.processes {
					p.slots["flood"] = total / float64(count)
				}
				s.processes[0].slots["small"] = 0.5
				s.run(10 * time.Second)
				if s.messages > 0 {
					t.Errorf("%d digests sent while nothing waited", s.messages)
				}
				for _, p := range s.processes {
					p.waits = true
				}
				s.run(4 * time.Second)
				if burst := s.messages; burst > 4*count || burst > 16*maxDigests {
					t.Errorf("%d digests in the first 4 s", burst)
				}
				s.messages = 0
				const seconds = 12
				mean := s.meanRemote(0, "flood", seconds)
				want := total * float64(count-1) / float64(count)
				t.Logf("%.1f slots of the flood heard on average, %.1f used; %.1f digests a second", mean, want, float64(s.messages)/seconds)
				if mean < 0.6*want || mean > 1.6*want {
					t.Errorf("%.1f slots of the flood heard, want about %.1f", mean, want)
				}
				if s.processes[0].exchange.RemoteSlots("small") > 0 {
					t.Error("a process hears of its own work")
				}
				if s.messages > 3*maxDigests*seconds {
					t.Errorf("%d digests in %d s, want about %d a second at the most", s.messages, seconds, maxDigests)
				}
				for _, p := range s.processes {
					p.waits = false
				}
				s.messages = 0
				s.run(2 * validity)
				if s.messages > 0 || s.processes[0].exchange.RemoteSlots("flood") > 0 {
					t.Errorf("%d digests sent and %.1f slots known after the waits ended", s.messages, s.processes[0].exchange.RemoteSlots("flood"))
				}
			})
		}
	}
}

// Guards against values from before a pause that decide afterwards.
func TestPausedProcessDropsWhatItHeard(t *testing.T) {
	s := newSystem(6)
	for _, p := range s.processes {
		p.slots["flood"], p.waits = 10, true
	}
	s.run(5 * time.Second)
	paused := s.processes[0]
	if got := paused.exchange.RemoteSlots("flood"); got != 50 {
		t.Fatalf("%.1f slots known before the pause, want 50", got)
	}
	paused.paused = true
	late := append([]message(nil), s.inTransit...)
	for _, p := range s.processes[1:] {
		p.slots["flood"] = 0
	}
	s.run(20 * time.Second)
	if got := paused.exchange.RemoteSlots("flood"); got != 0 {
		t.Errorf("%.1f slots known right after the pause", got)
	}
	old := Digest{Version: digestVersion, Run: 7, Number: 1 << 40, Factor: 1, Slots: map[string]float64{"flood": 99}}
	for range 2 { // before and after the process notices its pause
		paused.receive("entry-9", encode(t, old))
		paused.exchange.tick()
	}
	for _, m := range late {
		paused.receive(name(m.from), m.payload)
	}
	if got := paused.exchange.RemoteSlots("flood"); got != 0 {
		t.Errorf("%.1f slots known from digests that waited during the pause", got)
	}
	paused.paused = false
	for _, p := range s.processes[1:] {
		p.slots["flood"] = 2
	}
	s.run(5 * time.Second)
	if got := paused.exchange.RemoteSlots("flood"); got != 10 {
		t.Errorf("%.1f slots known some seconds after the pause, want 10", got)
	}
}

// Guards against digests in the wrong order, of other versions, and absurd ones.
func TestDigestsThatDoNotCount(t *testing.T) {
	s := newSystem(2)
	s.run(time.Second)
	p := s.processes[0]
	digest := func(number int64, slots float64) Digest {
		return Digest{Version: digestVersion, Run: 1, Number: number, Factor: 1, Slots: map[string]float64{"a": slots}}
	}
	p.receive("entry-1", encode(t, digest(2, 5)))
	p.receive("entry-1", encode(t, digest(1, 9)))
	if got := p.exchange.RemoteSlots("a"); got != 5 {
		t.Errorf("%.1f slots known, want 5 of the later digest", got)
	}
	many := map[string]float64{}
	for i := range maxAccounts + 1 {
		many[fmt.Sprint(i)] = 1
	}
	future, huge, negative, full := digest(3, 9), digest(3, 2*maxSlots), digest(3, -1), digest(3, 0)
	future.Version, full.Slots = digestVersion+1, many
	factor := digest(3, 9)
	factor.Factor = 0
	payloads := [][]byte{nil, []byte("no json"), []byte(`{"v":"2"}`), []byte(`{"v":1,"factor":1,"slots":[1]}`), make([]byte, maxDigestBytes+1)}
	for _, d := range []Digest{future, huge, negative, full, factor} {
		payloads = append(payloads, encode(t, d))
	}
	for _, payload := range payloads {
		p.receive("entry-1", payload)
	}
	if got := p.exchange.RemoteSlots("a"); got != 5 {
		t.Errorf("%.1f slots known after digests that do not count, want 5", got)
	}
	if got := p.exchange.digests.Value("ignored"); got != int64(len(payloads)) {
		t.Errorf("%d digests counted as ignored, want %d", got, len(payloads))
	}
	restarted := digest(1, 3)
	restarted.Run = 2
	p.receive("entry-1", encode(t, restarted))
	if got := p.exchange.RemoteSlots("a"); got != 3 {
		t.Errorf("%.1f slots known, want 3 of the restarted process", got)
	}
	p.receive("entry-0", encode(t, digest(9, 50)))
	if got := p.exchange.RemoteSlots("a"); got != 3 {
		t.Errorf("%.1f slots known, want none of the process itself", got)
	}
}

// Guards against digests whose size grows with the number of accounts or their names.
func TestDigestIsBounded(t *testing.T) {
	received := map[string]float64{"long": 1}
	for i := range 1000 {
		received[fmt.Sprintf("account-%d-%0*d", i, 100, 0)] = float64(i)
	}
	d := Digest{Version: digestVersion, Factor: 1, Slots: largest(received)}
	if n := len(encode(t, d)); n > maxDigestBytes || len(d.Slots) != maxAccounts {
		t.Errorf("%d accounts in %d bytes", len(d.Slots), n)
	}
	if _, err := decodeDigest(encode(t, d)); err != nil {
		t.Error(err)
	}
	if len(largest(map[string]float64{"idle": minSlots / 2})) > 0 {
		t.Error("an account that receives next to nothing is told")
	}
}

func encode(t *testing.T, d Digest) []byte {
	t.Helper()
	payload, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return payload
}
