package profile

import (
	"testing"
	"time"
)

// Guards against a validation that stops at the first invalid setting, names
// the wrong one, or rejects a profile without the optional addresses, which a
// storage machine leaves out.
func TestProblems(t *testing.T) {
	good := Profile{Name: "w", Zone: "a", Store: "10.0.0.1:80"}.WithDefaults()
	cases := []struct {
		name   string
		change func(*Profile)
		want   []Field
	}{
		{"complete", func(*Profile) {}, nil},
		{"nothing given", func(p *Profile) { *p = Profile{}.WithDefaults() }, []Field{FieldName, FieldZone, FieldStore}},
		{"addresses", func(p *Profile) { p.IP, p.Front, p.Cloud = "x", ":80", "here" }, []Field{FieldIP, FieldFront, FieldCloud}},
		{"ports", func(p *Profile) { p.FirstPort, p.LastPort = 70_000, 70_001 }, []Field{FieldPorts}},
		{"bounds", func(p *Profile) { p.Lease, p.MaxDrainDelay = time.Millisecond, -time.Second }, []Field{FieldLease, FieldMaxDrainDelay}},
		{"settle time", func(p *Profile) { p.Settle = 50 * time.Millisecond }, []Field{FieldSettle}},
		{"sizes", func(p *Profile) { p.MaxValueBytes, p.MemoryBytes = 1, -1 }, []Field{FieldMaxValueBytes, FieldMemory}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := good
			c.change(&p)
			found := p.Problems()
			if len(found) != len(c.want) {
				t.Fatalf("problems: %+v, want %v", found, c.want)
			}
			for i, problem := range found {
				if problem.Field != c.want[i] || problem.Want == "" {
					t.Errorf("problem: %+v, want one of %s with its allowed range", problem, c.want[i])
				}
			}
		})
	}
}
