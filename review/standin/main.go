// Command standin runs one case of the review: it serves the users' platform on loopback, starts the project's
// programs as processes, disturbs them, and checks one rule of the platform's pages from what the minions and
// the callers see. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"
)

// caseFunc runs a case. It returns the breaches of the rule, and an error if the case could not run.
type caseFunc func(d *deployment) ([]string, error)

// cases has the cases by name. Each case adds itself.
var cases = map[string]caseFunc{}

// maxTime is the longest time that a case may take.
const maxTime = 110 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of the case, in which record.txt is written")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	os.Exit(run(*name, *folder, *root))
}

func run(name, folder, root string) int {
	f, found := cases[name]
	if !found {
		names := make([]string, 0, len(cases))
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "standin: unknown case, want one of", strings.Join(names, " "))
		return 2
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer rec.close()
	d, err := newDeployment(rec, root, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.write("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer d.close()
	type result struct {
		breaches []string
		err      error
	}
	done := make(chan result, 1)
	go func() {
		breaches, err := f(d)
		done <- result{breaches, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(maxTime):
		r.err = fmt.Errorf("no result after %v", maxTime)
	}
	if r.err != nil {
		rec.write("case could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, "standin:", r.err)
		return 2
	}
	for _, b := range r.breaches {
		rec.write("BROKEN %s", b)
	}
	shown := r.breaches[:min(len(r.breaches), 5)]
	for _, b := range shown {
		fmt.Println("broken:", b)
	}
	fmt.Printf("%d breaches\n", len(r.breaches))
	if len(r.breaches) > 0 {
		return 1
	}
	rec.write("the rule held")
	return 0
}
