package allocation

import (
	"time"

	"corianderpass/internal/process/workload"
)

// Demand is the forecast of one occurrence for tests.
type Demand struct {
	Deadline      time.Duration
	Work, Benefit float64
	Guaranteed    bool
}

// UsableShare exports usableShare.
const UsableShare = usableShare

// SelectExcess calls selectExcess for occurrences that are on time and returns the indexes of those
// that it selects. It keeps the guaranteed ones.
func SelectExcess(demands []Demand) []int {
	var forecasts []*forecast
	index := map[*forecast]int{}
	for i, d := range demands {
		f := &forecast{deadline: d.Deadline, work: d.Work, benefit: d.Benefit, guaranteed: d.Guaranteed, first: workload.TaskRef{Index: i}}
		index[f] = i
		forecasts = append(forecasts, f)
	}
	var selected []int
	for _, f := range selectExcess(forecasts, func(f *forecast) bool { return f.guaranteed }) {
		selected = append(selected, index[f])
	}
	return selected
}
