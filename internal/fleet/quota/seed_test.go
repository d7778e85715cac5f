package quota

import "flag"

// The property tests draw the same schedules in every run, and leave no files
// behind when they fail. The flag -rapid.seed draws others.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
