package usage_test

import "flag"

// init gives the property tests a fixed seed, so that every run draws the same
// schedules, and keeps them from writing files when they fail. The flag
// -rapid.seed selects another seed.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
