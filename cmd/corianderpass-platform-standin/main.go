// Command corianderpass-platform-standin simulates the users' platform on one machine, for
// demos. It serves the platform's store and some minions on loopback addresses and writes the
// settings files of one entry ("front") and of one agent per minion ("side-1", "side-2", ...).
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
	taskstandin "corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
	"corianderpass/platform/standin"
)

const (
	// reportInterval is the time between two status reports of a minion.
	reportInterval = 500 * time.Millisecond
	// firstPort is the port of the store. The other ports are offsets from it.
	firstPort = 17300
)

func main() {
	dir := flag.String("dir", "", "`folder` in which the settings files front.toml, side-1.toml, ... are written")
	minions := flag.Int("minions", 2, "number of minions")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, *dir, *minions); err != nil {
		fmt.Fprintln(os.Stderr, "corianderpass-platform-standin:", err)
		os.Exit(1)
	}
}

// address returns the loopback address with the port firstPort+portOffset.
func address(portOffset int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset) }

func run(ctx context.Context, dir string, minions int) error {
	store := &standin.Store{}
	if err := store.Configure(demoConfiguration()); err != nil {
		return err
	}
	ended := make(chan error, minions+1)
	if err := startServer(ctx, address(0), store.Handler(), ended); err != nil {
		return err
	}
	if err := writeSettings(dir, standin.Settings{Node: "front", CallerAddress: address(1), ReadyAddress: address(2)}, 50); err != nil {
		return err
	}
	for i := 1; i <= minions; i++ {
		minionAddress, agentAddress := address(2+2*i), address(3+2*i)
		m := &standin.Minion{
			Tasks: &taskstandin.TaskMinion{
				ID: runner.MinionID(fmt.Sprint("i-", i)), Capacity: workload.Resources{Cores: 8000, Memory: 8000, Accelerators: 8},
				Need:        func(workload.TaskRef) workload.Resources { return workload.Resources{} },
				RunDuration: func(workload.TaskRef, workload.Run) time.Duration { return time.Second },
				OnViolation: func(text string) { fmt.Fprintln(os.Stderr, "corianderpass-platform-standin:", text) },
			},
			Machine: fmt.Sprint("m-", i), Service: "service", Address: minionAddress, Labels: []string{"a", "r1"},
		}
		m.StartLife()
		if err := startServer(ctx, minionAddress, m.Handler(), ended); err != nil {
			return err
		}
		if err := writeSettings(dir, standin.Settings{Node: fmt.Sprint("side-", i), OrderAddress: minionAddress, RegistrationAddress: agentAddress}, 50+i); err != nil {
			return err
		}
		go reportUntilDone(ctx, m, agentAddress)
	}
	fmt.Println("callers:", address(1), "ready:", address(2))
	for range cap(ended) {
		if err := <-ended; err != nil {
			return err
		}
	}
	return nil
}

// reportUntilDone sends the minion's status to its agent at each reportInterval until the
// context ends. It ignores errors: the agent may not have started yet.
func reportUntilDone(ctx context.Context, m *standin.Minion, agentAddress string) {
	for ctx.Err() == nil {
		_ = m.Report(ctx, agentAddress)
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
	}
}

// startServer starts to serve the handler at the address until the context ends. The server then
// sends nil to ended; if it fails before, it sends its error instead.
func startServer(ctx context.Context, address string, h http.Handler, ended chan<- error) error {
	l, err := net.Listen("tcp", address)
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

// demoConfiguration returns a configuration with one queue, "batch", and one organisation,
// whose key is "demo".
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

// writeSettings writes the settings file of one process, named after its node. The process
// listens for links on the port firstPort+portOffset.
func writeSettings(dir string, s standin.Settings, portOffset int) error {
	s.StoreAddress, s.LinkPort = address(0), fmt.Sprint(firstPort+portOffset)
	if err := os.WriteFile(filepath.Join(dir, s.Node+".toml"), []byte(s.TOML()), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}
