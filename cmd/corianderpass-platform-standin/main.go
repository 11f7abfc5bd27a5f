// Command corianderpass-platform-standin takes the place of the users' platform on
// one machine: its store, some minions and the settings files of the processes.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"corianderpass/internal/process/runner"
	base "corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
	"corianderpass/platform/standin"
)

const (
	// reportEvery is the time between two status reports of a minion.
	reportEvery = 500 * time.Millisecond
	// firstPort is the port of the store; the others follow.
	firstPort = 17300
)

func main() {
	dir := flag.String("dir", "", "`folder` for the settings files front.toml, side-1.toml, ...")
	minions := flag.Int("minions", 2, "number of minions")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, *dir, *minions); err != nil {
		fmt.Fprintln(os.Stderr, "corianderpass-platform-standin:", err)
		os.Exit(1)
	}
}

func address(n int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+n) }

func run(ctx context.Context, dir string, minions int) error {
	store := &standin.Store{}
	if err := store.Configure(demoConfiguration()); err != nil {
		return err
	}
	ended := make(chan error, minions+1)
	if err := serve(ctx, address(0), store.Handler(), ended); err != nil {
		return err
	}
	if err := write(dir, standin.Settings{Node: "front", CallerAddress: address(1), ReadyAddress: address(2)}, 50); err != nil {
		return err
	}
	for i := 1; i <= minions; i++ {
		calls, control := address(2+2*i), address(3+2*i)
		m := &standin.Minion{
			Tasks: &base.TaskMinion{
				ID: runner.MinionID(fmt.Sprint("i-", i)), Capacity: workload.Resources{Cores: 8000, Memory: 8000, Accelerators: 8},
				Need:        func(workload.TaskRef) workload.Resources { return workload.Resources{} },
				RunDuration: func(workload.TaskRef, workload.Run) time.Duration { return time.Second },
				OnViolation: func(text string) { fmt.Fprintln(os.Stderr, "corianderpass-platform-standin:", text) },
			},
			Machine: fmt.Sprint("m-", i), Service: "service", Address: calls, Labels: []string{"a", "r1"},
		}
		m.BeginLife()
		if err := serve(ctx, calls, m.Handler(), ended); err != nil {
			return err
		}
		if err := write(dir, standin.Settings{Node: fmt.Sprint("side-", i), OrderAddress: calls, RegistrationAddress: control}, 50+i); err != nil {
			return err
		}
		go report(ctx, m, control)
	}
	fmt.Println("callers:", address(1), "ready:", address(2))
	for range cap(ended) {
		if err := <-ended; err != nil {
			return err
		}
	}
	return nil
}

// report announces a minion until the context ends. An agent that is not up gets
// the next report.
func report(ctx context.Context, m *standin.Minion, agent string) {
	for ctx.Err() == nil {
		_ = m.Report(ctx, agent)
		select {
		case <-ctx.Done():
		case <-time.After(reportEvery):
		}
	}
}

func serve(ctx context.Context, at string, h http.Handler, ended chan<- error) error {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(l); ctx.Err() == nil {
			ended <- fmt.Errorf("serve: %w", err)
			return
		}
		ended <- nil
	}()
	return nil
}

func demoConfiguration() standin.Configuration {
	return standin.Configuration{
		Version: 1,
		Queues: []standin.Queue{{
			Name: "batch", Host: "jobs.example", PathPrefix: "/batch/", Service: "service",
			Priority: 1, Attempts: 3, Stretch: 3, TargetLatencyMS: 1000,
		}},
		Organisations: []standin.Organisation{{Name: "first", Keys: []string{"demo"}, Guaranteed: 4}},
	}
}

// write writes the settings file of one process.
func write(dir string, s standin.Settings, port int) error {
	s.StoreAddress, s.LinkPort = address(0), fmt.Sprint(firstPort+port)
	if err := os.WriteFile(filepath.Join(dir, s.Node+".toml"), []byte(s.TOML()), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}
