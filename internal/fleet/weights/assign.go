package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

const (
	// reassignmentDelay is how long a model must have had too few engines before it
	// gets one of another model. Engines that restart or lose contact one after the
	// other are then not reassigned, which costs a load of weights.
	reassignmentDelay = 2 * time.Second
	// reassignmentGap is the number of engines by which one model must have more
	// and another one less than its share.
	reassignmentGap = 0.75
)

// assignModels assigns one model to each engine of a service and returns the
// assignments by engine ID. Engines keep their model. New engines get the model
// that lacks most, and one engine is reassigned when that has been the case for
// reassignmentDelay.
func (p *Planner) assignModels(service manifest.Service, entries []replica.Entry) map[string]string {
	models, previous := service.Models, p.assignments[service.Name]
	assigned := make(map[string]string, len(entries))
	p.assignments[service.Name] = assigned
	slices.SortFunc(entries, func(a, b replica.Entry) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	count := map[string]int{}
	for _, e := range entries {
		model, known := previous[e.ID]
		if !known {
			model = newestModel(e, models)
		}
		if model != "" {
			assigned[e.ID] = model
			count[model]++
		}
	}
	lacking := p.lackingEngines(models, len(entries), count)
	for _, e := range entries {
		if _, known := assigned[e.ID]; !known {
			model, _ := extremes(models, lacking)
			assigned[e.ID] = model
			lacking[model]--
		}
	}
	p.reassignOne(service, entries, assigned, lacking)
	return assigned
}

// lackingEngines returns by how many engines each model has less than its share of
// the work. Each model needs one engine at least.
func (p *Planner) lackingEngines(models []string, engines int, count map[string]int) map[string]float64 {
	spare := float64(max(0, engines-len(models)))
	shares := p.seams.Demand.Shares(models)
	lacking := make(map[string]float64, len(models))
	for _, model := range models {
		lacking[model] = 1 + spare*shares[model] - float64(count[model])
	}
	return lacking
}

// reassignOne gives an engine of the model that has most beyond its share to the
// model that lacks most.
func (p *Planner) reassignOne(service manifest.Service, entries []replica.Entry, assigned map[string]string, lacking map[string]float64) {
	needy, rich := extremes(service.Models, lacking)
	if lacking[needy] < reassignmentGap || lacking[rich] > -reassignmentGap {
		delete(p.unbalancedSince, service.Name)
		return
	}
	now := p.timers.Now()
	since, known := p.unbalancedSince[service.Name]
	if !known {
		p.unbalancedSince[service.Name] = now
		return
	}
	if now.Sub(since) < reassignmentDelay {
		return
	}
	for _, e := range entries {
		if assigned[e.ID] == rich && !p.loading[e.ID] {
			assigned[e.ID] = needy
			delete(p.unbalancedSince, service.Name)
			return
		}
	}
}

// newestModel returns the model of which the engine has the highest version. It is
// the model that an earlier holder of the role assigned to the engine. The result
// is empty when two models share the highest version.
func newestModel(e replica.Entry, models []string) string {
	best, tie := "", false
	for _, model := range models {
		switch {
		case best == "" || e.Models[model] > e.Models[best]:
			best, tie = model, false
		case e.Models[model] == e.Models[best]:
			tie = true
		}
	}
	if tie {
		return ""
	}
	return best
}

// extremes returns the models that lack most and least.
func extremes(models []string, lacking map[string]float64) (needy, rich string) {
	needy, rich = models[0], models[0]
	for _, model := range models {
		if lacking[model] > lacking[needy] {
			needy = model
		}
		if lacking[model] < lacking[rich] {
			rich = model
		}
	}
	return needy, rich
}
