package profile

import (
	"fmt"
	"net"
	"time"
)

// Field identifies a setting in a Problem.
type Field string

// The settings that Problems checks. Platform adapters map them to the names in
// their settings files.
const (
	FieldName           Field = "name"
	FieldZone           Field = "zone"
	FieldIP             Field = "ip"
	FieldFront          Field = "front"
	FieldReadiness      Field = "readiness"
	FieldStore          Field = "store"
	FieldCloud          Field = "cloud"
	FieldPorts          Field = "ports"
	FieldMaxValueBytes  Field = "value"
	FieldMemory         Field = "memory"
	FieldDescriptors    Field = "descriptors"
	FieldGrace          Field = "grace"
	FieldLease          Field = "lease"
	FieldWindow         Field = "window"
	FieldMaxReportDelay Field = "report delay"
	FieldSettle         Field = "settle time"
	FieldMaxConfigDelay Field = "config delay"
	FieldMaxDrainDelay  Field = "drain delay"
	FieldMaxZoneDelay   Field = "zone delay"
	FieldMaxCancelDelay Field = "cancel delay"
)

const (
	minLease      = 500 * time.Millisecond
	minWindow     = time.Second
	minDelay      = 200 * time.Millisecond
	minGrace      = time.Second
	minValueBytes = 16 << 10 // bytes
	maxPort       = 65_535
)

// Problem describes a setting with an invalid value.
type Problem struct {
	Field Field
	Value string // as text, see Profile.Values
	Want  string // the allowed range
}

// Problems validates the profile and returns all invalid settings, in a fixed
// order.
func (p Profile) Problems() []Problem {
	var found []Problem
	values := p.Values()
	add := func(wrong bool, field Field, want string) {
		if wrong {
			found = append(found, Problem{Field: field, Value: values[field], Want: want})
		}
	}
	add(p.Name == "", FieldName, "not empty")
	add(p.Zone == "", FieldZone, "not empty")
	add(p.IP != "" && net.ParseIP(p.IP) == nil, FieldIP, "an IP address")
	add(!isAddress(p.Store), FieldStore, "IP:PORT")
	add(p.Front != "" && !isAddress(p.Front), FieldFront, "IP:PORT, or left out")
	add(p.Readiness != "" && !isAddress(p.Readiness), FieldReadiness, "IP:PORT, or left out")
	add(p.Cloud != "" && !isAddress(p.Cloud), FieldCloud, "IP:PORT, or left out")
	add(p.FirstPort < 0 || p.LastPort > maxPort || p.FirstPort > p.LastPort, FieldPorts,
		"two ports, the first not above the second")
	add(p.MaxValueBytes < minValueBytes, FieldMaxValueBytes, fmt.Sprintf("at least %d", minValueBytes))
	add(p.MemoryBytes < 0, FieldMemory, "at least 0")
	add(p.Descriptors < 0, FieldDescriptors, "at least 0")
	for _, bound := range []struct {
		field Field
		value time.Duration
		least time.Duration
	}{
		{FieldGrace, p.Grace, minGrace},
		{FieldLease, p.Lease, minLease},
		{FieldWindow, p.Window, minWindow},
		{FieldMaxReportDelay, p.MaxReportDelay, minWindow},
		{FieldSettle, p.Settle, minDelay},
		{FieldMaxConfigDelay, p.MaxConfigDelay, minDelay},
		{FieldMaxDrainDelay, p.MaxDrainDelay, minDelay},
		{FieldMaxZoneDelay, p.MaxZoneDelay, minDelay},
		{FieldMaxCancelDelay, p.MaxCancelDelay, minDelay},
	} {
		add(bound.value < bound.least, bound.field, fmt.Sprintf("at least %s", bound.least))
	}
	return found
}

// Values returns the settings as text, for error messages and for the display
// of the settings in force.
func (p Profile) Values() map[Field]string {
	return map[Field]string{
		FieldName: p.Name, FieldZone: p.Zone, FieldIP: p.IP, FieldFront: p.Front, FieldReadiness: p.Readiness,
		FieldStore: p.Store, FieldCloud: p.Cloud, FieldPorts: fmt.Sprintf("%d to %d", p.FirstPort, p.LastPort),
		FieldMaxValueBytes: fmt.Sprint(p.MaxValueBytes), FieldMemory: fmt.Sprintf("%d MB", p.MemoryBytes>>20),
		FieldDescriptors: fmt.Sprint(p.Descriptors),
		FieldGrace:       p.Grace.String(), FieldLease: p.Lease.String(), FieldWindow: p.Window.String(),
		FieldMaxReportDelay: p.MaxReportDelay.String(), FieldSettle: p.Settle.String(), FieldMaxConfigDelay: p.MaxConfigDelay.String(), FieldMaxDrainDelay: p.MaxDrainDelay.String(),
		FieldMaxZoneDelay: p.MaxZoneDelay.String(), FieldMaxCancelDelay: p.MaxCancelDelay.String(),
	}
}

// isAddress reports whether the value has the form HOST:PORT.
func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	return err == nil && host != "" && port != ""
}
