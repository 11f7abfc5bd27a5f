// Command standin2 runs one case of the second review: it starts the project's programs on stand-ins of the
// platform, its minions and its consumers, and judges what these have seen. It exits with 1 if the rule of the case
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// caseLimit is the longest time that a case may take.
const caseLimit = 115 * time.Second

// verdict is the result of a case: how the rule was broken, empty if it held.
type verdict string

// scenario runs a case with or without the disruption.
type scenario func(ctx context.Context, d *deployment, trouble bool) (verdict, error)

var scenarios = map[string]scenario{
	"lasting":  lastingTaskIsNotRestarted,
	"last":     lastAttemptWaitsForever,
	"gang":     gangWaitsForever,
	"pending":  pendingOmitsJobs,
	"reclaim":  guaranteeIsNotReclaimed,
	"block":    urgentGangBlocksPool,
	"progress": slowProgressBlocksWorkers,
}

func main() {
	// The processes are killed when the thread that started them ends.
	runtime.LockOSThread()
	name := flag.String("case", "", "`name` of the case")
	path := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	os.Exit(runCase(*name, *path, *keep))
}

func runCase(name, path string, keep bool) int {
	play, known := scenarios[name]
	if !known {
		fmt.Println("unknown case", name)
		return 2
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	d, err := newDeployment(r)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer d.close(keep)
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	broken, err := play(ctx, d, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil && ctx.Err() != nil:
		err = errors.New("the case took too long")
		fallthrough
	case err != nil:
		r.note("result: %v", err)
		fmt.Println(err)
		return 2
	case broken != "":
		r.note("result: broken: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	r.note("result: held")
	fmt.Println("held")
	return 0
}
