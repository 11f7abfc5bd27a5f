package simulation

import (
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// Means holds the means of the results of Days days. The other fields are those of
// Result.
type Means struct {
	EarnedShare, WorstWindows, Waste float64
	Late, Missed, Stops              float64
	EarnedByClass                    map[string]float64
	Days                             int
}

// SimulateDays simulates days with the seeds 1 to days, several at the same time, and
// returns the means of their results. It calls policy once for each day, in concurrent
// goroutines. The error is that of the day with the lowest seed that failed.
func SimulateDays(s *Scenario, days int, policy func() Policy) (Means, error) {
	results := make([]Result, days)
	errs := make([]error, days)
	var group sync.WaitGroup
	semaphore := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for i := range days {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			results[i], errs[i] = SimulateDay(s, uint64(i+1), policy())
		})
	}
	group.Wait()
	m := Means{EarnedByClass: map[string]float64{}, Days: days}
	for i, r := range results {
		if errs[i] != nil {
			return m, fmt.Errorf("seed %d: %w", i+1, errs[i])
		}
		n := float64(days)
		m.EarnedShare += r.EarnedShare / n
		m.WorstWindows += r.WorstWindows / n
		m.Waste += r.Waste / n
		m.Late += float64(r.Late) / n
		m.Missed += float64(r.Missed) / n
		m.Stops += float64(r.Stops) / n
		for name, share := range r.EarnedByClass {
			m.EarnedByClass[name] += share / n
		}
	}
	return m, nil
}

// Print writes the means as a row of a Markdown table.
func (m Means) Print(out io.Writer, name string) error {
	var classes []string
	for _, c := range slices.Sorted(maps.Keys(m.EarnedByClass)) {
		classes = append(classes, fmt.Sprintf("%s %.3f", c, m.EarnedByClass[c]))
	}
	_, err := fmt.Fprintf(out, "| %s | %d | %.3f | %.3f | %.2f | %.2f | %.2f | %.1f | %s |\n",
		name, m.Days, m.EarnedShare, m.WorstWindows, m.Waste, m.Late, m.Missed, m.Stops, strings.Join(classes, ", "))
	if err != nil {
		return fmt.Errorf("simulation: print: %w", err)
	}
	return nil
}

// PrintHeader writes the header of the table that Print adds rows to.
func PrintHeader(out io.Writer) error {
	_, err := fmt.Fprint(out, "| Scenario | Days | Whole | Worst windows | Waste | Late | Missed | Stops | Classes |\n",
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	if err != nil {
		return fmt.Errorf("simulation: print: %w", err)
	}
	return nil
}
