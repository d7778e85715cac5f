package idempotency

import "flag"

// init sets a fixed seed, so that the property tests draw the same schedules in
// every run, and keeps rapid from writing files when a test fails. The flag
// -rapid.seed selects other schedules.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
