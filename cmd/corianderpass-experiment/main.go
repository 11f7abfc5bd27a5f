// Command corianderpass-experiment measures the placement policy, its parts
// switched off one by one, and the naive one, on the same seeded workloads.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/experiment"
	"corianderpass/internal/process/placement"
	"corianderpass/internal/process/simulation"
)

// policies are measured in this order.
var policies = []struct {
	name   string
	policy experiment.Policy
	// noQuarantine switches off a rule that is not the policy's.
	noQuarantine bool
}{
	{name: "full", policy: placement.Policy{}},
	{name: "naive", policy: placement.Naive{}},
	{name: "no backfill", policy: placement.Policy{NoBackfill: true}},
	{name: "no ageing", policy: placement.Policy{NoAgeing: true}},
	{name: "no correction", policy: placement.Policy{NoCorrection: true}},
	{name: "no patience", policy: placement.Policy{NoSmallJobDelay: true}},
	{name: "no compaction", policy: placement.Policy{NoCompaction: true}},
	{name: "no moves", policy: placement.Policy{NoMoves: true}},
	{name: "no quarantine", policy: placement.Policy{}, noQuarantine: true},
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the workload")
	workers := flag.Int("workers", 10, "workers of 8 accelerators")
	load := flag.Float64("load", 0.85, "demanded share of the accelerators")
	length := flag.Duration("length", 96*time.Hour, "time in which jobs arrive")
	user := flag.String("user", string(experiment.UserAudit), "whose weights: Audit or Timber")
	calm := flag.Bool("calm", false, "leave out faults and cancellations")
	only := flag.String("only", "", "measure only the policies whose names have this `word`")
	days := flag.Int("days", 100, "days to play of each scenario")
	flag.Usage = usage
	flag.Parse()
	if flag.NArg() > 0 {
		if err := playScenarios(flag.Args(), *days); err != nil {
			fmt.Fprintln(os.Stderr, "corianderpass-experiment:", err)
			os.Exit(1)
		}
		return
	}
	w := experiment.Workload{Seed: *seed, Workers: *workers, Load: *load, Length: *length, User: experiment.User(*user), NoFaults: *calm}
	var totals []string
	fmt.Println("| Policy | Size | Ended | Mean min | p50 | p95 | p99 |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, p := range policies {
		if !strings.Contains(p.name, *only) {
			continue
		}
		w.NoQuarantine = p.noQuarantine
		report := experiment.Run(w, p.policy)
		report.Print(os.Stdout, p.name)
		totals = append(totals, report.TotalsRow(p.name))
		for _, v := range report.Violations {
			fmt.Fprintln(os.Stderr, "violation:", p.name, v)
		}
	}
	fmt.Println("\n| Policy | Fragmentation | Unusable of free | Held | Stretch mean | Stretch max | Claim start s | Claims busy | Preempted | Moved | Lost h | Void | Unfinished | Violations |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	fmt.Println(strings.Join(totals, "\n"))
}

func usage() {
	fmt.Fprintln(flag.CommandLine.Output(), "corianderpass-experiment [flags] [SCENARIO.toml ...]\n\n"+
		"With scenarios, the allocation policy is played against them; without, the placement of gangs is measured.")
	flag.PrintDefaults()
}

// playScenarios plays the allocation policy against scenario files.
func playScenarios(paths []string, days int) error {
	if err := simulation.PrintHeader(os.Stdout); err != nil {
		return err
	}
	for _, path := range paths {
		s, err := simulation.Load(path)
		if err != nil {
			return err
		}
		m, err := simulation.SimulateDays(&s, days, func() simulation.Policy { return allocation.Decide })
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		if err := m.Print(os.Stdout, s.Name); err != nil {
			return err
		}
	}
	return nil
}
