// Command corianderpass-experiment measures the placement policy, its parts
// switched off one by one, and the naive one, on the same seeded workloads.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"corianderpass/internal/process/experiment"
	"corianderpass/internal/process/placement"
)

// policies are measured in this order.
var policies = []struct {
	name   string
	policy experiment.Policy
}{
	{"full", placement.Policy{}},
	{"naive", placement.Naive{}},
	{"no backfill", placement.Policy{NoBackfill: true}},
	{"no ageing", placement.Policy{NoAgeing: true}},
	{"no correction", placement.Policy{NoCorrection: true}},
	{"no patience", placement.Policy{NoPatience: true}},
	{"no compaction", placement.Policy{NoCompaction: true}},
	{"no moves", placement.Policy{NoMoves: true}},
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the workload")
	workers := flag.Int("workers", 10, "workers of 8 accelerators")
	load := flag.Float64("load", 0.85, "demanded share of the accelerators")
	length := flag.Duration("length", 96*time.Hour, "time in which jobs arrive")
	user := flag.String("user", string(experiment.UserAudit), "whose weights: Audit or Timber")
	calm := flag.Bool("calm", false, "leave out faults and cancellations")
	only := flag.String("only", "", "measure only the policies whose names have this `word`")
	flag.Parse()
	w := experiment.Workload{Seed: *seed, Workers: *workers, Load: *load, Length: *length, User: experiment.User(*user), Calm: *calm}
	var totals []string
	fmt.Println("| Policy | Size | Ended | Mean min | p50 | p95 | p99 |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, p := range policies {
		if !strings.Contains(p.name, *only) {
			continue
		}
		report := experiment.Run(w, p.policy)
		report.Print(os.Stdout, p.name)
		totals = append(totals, report.Totals(p.name))
		for _, v := range report.Violations {
			fmt.Fprintln(os.Stderr, "violation:", p.name, v)
		}
	}
	fmt.Println("\n| Policy | Fragmentation | Unusable of free | Held | Stretch mean | Stretch max | Claim start s | Claims busy | Preempted | Moved | Lost h | Void | Unfinished | Violations |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	fmt.Println(strings.Join(totals, "\n"))
}
