// Package broadcast delivers rare events to all instances. An event has a topic,
// a key, a payload and a time to live. It is forwarded along the control trees
// and between the relays of the zones, and sent again until each neighbour has
// acknowledged it.
//
// # Usage
//
//	broadcaster := broadcast.New(broadcast.Options{Self: "i-1", Period: time.Second}, timers, broadcast.Seams{
//		Neighbours: directory.Neighbours, Report: directory.Report, Peers: client,
//	}, log)
//	broadcaster.Subscribe("suspect", func(key string, payload []byte) { ... })
//	go broadcaster.Run(ctx)
//	broadcaster.Publish("suspect", digest, payload, 10*time.Minute)
//
// Until it expires, an event is delivered once to the subscribers of each
// instance, including the publishing instance. Events of one topic and key are
// not ordered.
package broadcast

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

const (
	// comparePeriods is the number of exchange periods after which digests are
	// compared with all neighbours, to find instances that lost events.
	comparePeriods = 10
	// maxShareEvents is the largest number of events in one message.
	maxShareEvents = 256
	// maxEvents bounds the memory. Events are rare, so only a fault reaches it.
	maxEvents = 65536
	// maxPayloadBytes is the largest payload of one event.
	maxPayloadBytes = 16 << 10
)

// Options configure a broadcaster. Self is the id of the instance. Period is
// the interval at which events that a neighbour has not acknowledged are sent
// again; it is also the timeout of a call.
type Options struct {
	Self   string
	Period time.Duration
}

// Seams are the external functions that a broadcaster depends on.
type Seams struct {
	// Neighbours returns the instances to forward events to.
	Neighbours func() []member.Instance
	// Report records the outcome of a call. Refused means that nothing listens
	// at the address of the instance.
	Report func(id string, alive, refused bool)
	// Peers is the client for calls to other instances.
	Peers *http.Client
}

// Broadcaster holds the unexpired events of one instance and forwards them.
type Broadcaster struct {
	options Options
	timers  *clock.Service
	seams   Seams
	log     *logrus.Entry
	wake    chan struct{}

	// mu guards the fields below. No call is made while it is held.
	mu          sync.Mutex
	events      map[string]event
	digest      uint64
	subscribers map[string][]func(key string, payload []byte)
	// acknowledged holds, by neighbour, the ids of the events that the
	// neighbour has acknowledged or sent itself.
	acknowledged map[string]map[string]bool
}

type event struct {
	topic, key string
	payload    []byte
	expires    time.Time
}

// New returns an empty broadcaster.
func New(options Options, timers *clock.Service, seams Seams, log *logrus.Entry) *Broadcaster {
	return &Broadcaster{
		options: options, timers: timers, seams: seams, log: log, wake: make(chan struct{}, 1),
		events: map[string]event{}, acknowledged: map[string]map[string]bool{},
		subscribers: map[string][]func(string, []byte){},
	}
}

// Subscribe calls receive for each event of a topic, including unexpired events
// that have already arrived. The function must not block and must not call the
// broadcaster.
func (b *Broadcaster) Subscribe(topic string, receive func(key string, payload []byte)) {
	b.mu.Lock()
	b.subscribers[topic] = append(b.subscribers[topic], receive)
	var live []event
	for _, e := range b.events {
		if e.topic == topic {
			live = append(live, e)
		}
	}
	b.mu.Unlock()
	for _, e := range live {
		receive(e.key, e.payload)
	}
}

// Publish delivers an event to all instances that can be reached before it
// expires.
func (b *Broadcaster) Publish(topic, key string, payload []byte, ttl time.Duration) {
	if len(payload) > maxPayloadBytes {
		b.log.WithField("topic", topic).WithField("bytes", len(payload)).Error("event dropped: payload exceeds the size limit")
		return
	}
	b.accept(ulid.Make().String(), event{topic, key, payload, b.timers.Now().Add(ttl)}, "")
	b.signal()
}

func (b *Broadcaster) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// accept stores an event and delivers it to the subscribers, unless it is
// known, has expired or exceeds maxEvents. It reports whether the event was
// stored. The parameter from is the neighbour that sent the event, or empty for
// an event that was published here.
func (b *Broadcaster) accept(id string, e event, from string) bool {
	b.mu.Lock()
	_, known := b.events[id]
	if from != "" {
		b.markAcknowledged(from, id)
	}
	if known || !e.expires.After(b.timers.Now()) || len(b.events) >= maxEvents {
		b.mu.Unlock()
		return false
	}
	b.events[id] = e
	b.digest ^= xxhash.Sum64String(id)
	receivers := b.subscribers[e.topic]
	b.mu.Unlock()
	for _, receive := range receivers {
		receive(e.key, e.payload)
	}
	return true
}

// markAcknowledged records that a neighbour has an event. The caller holds mu.
func (b *Broadcaster) markAcknowledged(neighbour, id string) {
	if b.acknowledged[neighbour] == nil {
		b.acknowledged[neighbour] = map[string]bool{}
	}
	b.acknowledged[neighbour][id] = true
}

// Server returns the handler for calls from other instances, to be mounted at
// NoticesPathPrefix.
func (b *Broadcaster) Server() http.Handler { return NewNoticesServer(&server{broadcaster: b}) }

type server struct{ broadcaster *Broadcaster }

// Share stores the events and wakes up Run to forward those that are new.
func (s *server) Share(_ context.Context, in *NoticeShare) (*NoticeAck, error) {
	b := s.broadcaster
	added := false
	for _, e := range in.Events {
		expires := b.timers.Now().Add(time.Duration(e.LeftMs) * time.Millisecond)
		added = b.accept(e.Id, event{e.Topic, e.Key, e.Payload, expires}, in.Instance) || added
	}
	if added {
		b.signal()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(in.Events) == 0 && in.Digest != b.digest {
		// The sender may have restarted and lost its events: send all of them
		// again.
		delete(b.acknowledged, in.Instance)
		b.signal()
	}
	return &NoticeAck{Digest: b.digest}, nil
}

// Run forwards events until ctx ends.
func (b *Broadcaster) Run(ctx context.Context) error {
	ticks := b.timers.Subscribe(b.options.Period)
	defer ticks.Stop()
	compared := false
	for period := 0; ; {
		compare := false
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
		case <-ticks.C:
			period++
			// An instance that has just started compares at once, so that its
			// neighbours send it their events.
			compare = period%comparePeriods == 0 || !compared
		}
		compared = b.propagate(ctx, compare) && compare || compared
	}
}

// propagate sends each neighbour the events that it has not acknowledged. With
// compare set it also calls neighbours that have acknowledged all events, to
// compare digests. It reports whether there are neighbours.
func (b *Broadcaster) propagate(ctx context.Context, compare bool) bool {
	b.removeExpired()
	neighbours := b.seams.Neighbours()
	b.forgetFormerNeighbours(neighbours)
	var group sync.WaitGroup
	for _, i := range neighbours {
		events := b.pending(i.ID)
		if len(events) == 0 && !compare {
			continue
		}
		group.Go(func() { b.send(ctx, i, events) })
	}
	group.Wait()
	return len(neighbours) > 0
}

func (b *Broadcaster) removeExpired() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timers.Now()
	for id, e := range b.events {
		if e.expires.After(now) {
			continue
		}
		delete(b.events, id)
		b.digest ^= xxhash.Sum64String(id)
		for _, ids := range b.acknowledged {
			delete(ids, id)
		}
	}
}

// forgetFormerNeighbours drops the acknowledgements of instances that are no
// longer neighbours.
func (b *Broadcaster) forgetFormerNeighbours(neighbours []member.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := map[string]bool{}
	for _, i := range neighbours {
		current[i.ID] = true
	}
	for id := range b.acknowledged {
		if !current[id] {
			delete(b.acknowledged, id)
		}
	}
}

// pending returns up to maxShareEvents events that the neighbour has not
// acknowledged.
func (b *Broadcaster) pending(neighbour string) []*Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*Notice
	for id, e := range b.events {
		if len(out) == maxShareEvents {
			break
		}
		if !b.acknowledged[neighbour][id] {
			left := e.expires.Sub(b.timers.Now()).Milliseconds()
			out = append(out, &Notice{Id: id, Topic: e.topic, Key: e.key, Payload: e.payload, LeftMs: left})
		}
	}
	return out
}

func (b *Broadcaster) send(ctx context.Context, neighbour member.Instance, events []*Notice) {
	ctx, cancel := b.timers.WithTimeout(ctx, b.options.Period)
	defer cancel()
	client := NewNoticesProtobufClient(fleet.URL(neighbour.Peer), b.seams.Peers)
	b.mu.Lock()
	digest := b.digest
	b.mu.Unlock()
	ack, err := client.Share(ctx, &NoticeShare{Instance: b.options.Self, Events: events, Digest: digest})
	b.seams.Report(neighbour.ID, err == nil, err != nil && fleet.IsConnRefused(err))
	if err != nil {
		b.log.WithField(logs.Peer, neighbour.ID).WithError(err).Debug("sending events to a neighbour failed; will retry")
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range events {
		b.markAcknowledged(neighbour.ID, e.Id)
	}
	// Different digests mean that one of the two instances lacks events.
	// Sending all events again repairs the neighbour; its own comparison
	// repairs this instance.
	if len(events) == 0 && ack.Digest != b.digest {
		delete(b.acknowledged, neighbour.ID)
	}
}
