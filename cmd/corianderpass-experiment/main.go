// Command corianderpass-experiment simulates policies and prints the results as Markdown tables.
// Without arguments, it measures the placement of gangs on one seeded workload: with the full
// policy, with the naive policy and with each part of the full policy switched off. With scenario
// files as arguments, it measures the allocation policy on each of them.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/experiment"
	"corianderpass/internal/process/placement"
	"corianderpass/internal/process/simulation"
)

// policies lists the measured policies in the order of the tables.
var policies = []struct {
	name string
	run  func(experiment.Workload) *experiment.Report
	// noQuarantine switches off the quarantine of workers, which is not part of the policy.
	noQuarantine bool
}{
	{name: "full", run: under(placement.Policy{})},
	{name: "naive", run: under(placement.Naive{})},
	{name: "no backfill", run: under(placement.Policy{NoBackfill: true})},
	{name: "no ageing", run: under(placement.Policy{NoAgeing: true})},
	{name: "no correction", run: under(placement.Policy{NoCorrection: true})},
	{name: "no patience", run: under(placement.Policy{NoSmallJobDelay: true})},
	{name: "no compaction", run: under(placement.Policy{NoCompaction: true})},
	{name: "no moves", run: under(placement.Policy{NoMoves: true})},
	{name: "no quarantine", run: under(placement.Policy{}), noQuarantine: true},
}

// under returns a function that runs a workload under the policy.
func under[P experiment.Policy](p P) func(experiment.Workload) *experiment.Report {
	return func(w experiment.Workload) *experiment.Report { return experiment.Run(w, p) }
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the workload")
	workers := flag.Int("workers", 10, "number of workers, each with 8 accelerators")
	load := flag.Float64("load", 0.85, "demand of the jobs as a fraction of all accelerators")
	length := flag.Duration("length", 96*time.Hour, "simulated time during which jobs arrive")
	user := flag.String("user", string(experiment.UserAudit), "user whose weights apply: Audit or Timber")
	calm := flag.Bool("calm", false, "simulate no faults and no cancellations")
	only := flag.String("only", "", "measure only policies whose names contain this `text`")
	days := flag.Int("days", 100, "number of days to simulate per scenario")
	loads := flag.String("loads", "", "simulate each scenario at these multiples of its capacity, such as 0.7,1,3")
	flag.Usage = usage
	flag.Parse()
	if flag.NArg() > 0 {
		if err := simulateScenarios(flag.Args(), *days, *loads); err != nil {
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
		report := p.run(w)
		report.Print(os.Stdout, p.name)
		totals = append(totals, report.TotalsRow(p.name))
		for _, v := range report.Violations {
			fmt.Fprintln(os.Stderr, "violation:", p.name, v)
		}
	}
	// The fields of experiment.Report describe the columns of both tables.
	fmt.Println("\n| Policy | Fragmentation | Unusable of free | Held | Stretch mean | Stretch max | Claim start s | Claims busy | Preempted | Moved | Lost h | Void | Unfinished | Violations |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	fmt.Println(strings.Join(totals, "\n"))
}

func usage() {
	fmt.Fprintln(flag.CommandLine.Output(), "corianderpass-experiment [flags] [SCENARIO.toml ...]\n\n"+
		"With scenario files, it simulates the allocation policy on them. Without, it measures the placement of gangs.")
	flag.PrintDefaults()
}

// simulateScenarios simulates the allocation policy on each scenario file for the number of days
// and prints a table of the means. loads is a list of the loads to simulate each scenario at; empty
// for its own arrival rates.
func simulateScenarios(paths []string, days int, loads string) error {
	if err := simulation.PrintHeader(os.Stdout); err != nil {
		return err
	}
	for _, path := range paths {
		for text := range strings.SplitSeq(loads, ",") {
			s, err := simulation.Load(path)
			if err != nil {
				return err
			}
			if text != "" {
				load, err := strconv.ParseFloat(text, 64)
				if err != nil || load <= 0 {
					return fmt.Errorf("-loads: %q is not a number above 0", text)
				}
				s.SetLoad(load)
				s.Name += " " + text
			}
			means, err := simulation.SimulateDays(&s, days, func() simulation.Policy { return allocation.Decide })
			if err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			if err := means.Print(os.Stdout, s.Name); err != nil {
				return err
			}
		}
	}
	return nil
}
