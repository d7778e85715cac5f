package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["key"] = playKey }

const (
	keyCycles    = 16
	calm         = 2200 * time.Millisecond // at least, from the end of a cycle to the next silence
	calmSpread   = 600 * time.Millisecond
	afterSilence = 900 * time.Millisecond // from the silence to the withdrawal
	contact      = 3 * time.Second        // contactMs: the machines are in touch again
	configApply  = 2 * time.Second        // configApplyMs
	probeFor     = 600 * time.Millisecond // how long requests are judged
	probePause   = 25 * time.Millisecond
)

// playKey withdraws a key right after all open channels have gone silent.
func playKey(w *world, trouble bool) {
	if !w.build(2, 1, 2, 20, 20*time.Millisecond) {
		return
	}
	time.Sleep(2 * time.Second)
	version := 1
	for cycle := range keyCycles {
		key := fmt.Sprintf("second-key-%d", cycle)
		version++
		w.store.write("config", "main", withKey(manifest(version), key))
		time.Sleep(calm + rand.N(calmSpread))
		if trouble {
			n := w.silence("store ") + w.silence("peer ") + w.silence("replica ") + w.silence("cloud ")
			w.note("silenced the channels of %d links", n)
		}
		silenced := time.Now()
		time.Sleep(afterSilence)
		version++
		w.store.write("config", "main", manifest(version))
		acked := time.Now()
		w.note("the manifest %d without the key is acked, %v after the silence", version, acked.Sub(silenced))
		from := acked.Add(configApply)
		if in := silenced.Add(contact); in.After(from) {
			from = in
		}
		var probes sync.WaitGroup
		for _, p := range w.entries {
			probes.Go(func() {
				var last answer
				late := 0
				for n := 0; time.Now().Before(from.Add(probeFor)); n++ {
					id := fmt.Sprintf("k-%d-%s-%d", cycle, p.name, n)
					a := p.call(http.MethodPost, "/plain/x", key, id, map[string]string{"Deadline-Ms": "1500"}, []byte("x"), 1500*time.Millisecond)
					if a.err == nil && a.status == http.StatusOK {
						last = a
						if a.sent.After(from) {
							late++
						}
					}
					time.Sleep(probePause)
				}
				w.note("%s: the key worked last %v after the ack, %v after the silence", p.name, last.sent.Sub(acked), last.sent.Sub(silenced))
				if late > 0 {
					w.broke("CONFIG: %s passed on %d requests with the withdrawn key that were sent more than 2 s after the ack and 3 s after the silence, the last %v after the ack and %v after the silence", p.name, late, last.sent.Sub(acked), last.sent.Sub(silenced))
				}
			})
		}
		probes.Wait()
	}
}

// withKey adds a key to the first tenant.
func withKey(m map[string]any, key string) map[string]any {
	tenants := m["tenants"].([]any)
	first := tenants[0].(map[string]any)
	first["apiKeys"] = append(first["apiKeys"].([]string), key)
	return m
}
