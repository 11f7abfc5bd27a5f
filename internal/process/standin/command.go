package standin

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"corianderpass/pkg/platform"
)

// drainTime limits how long a stand-in waits for requests in progress when it stops.
const drainTime = 10 * time.Second

// NewCommand returns the command line of the stand-ins.
func NewCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "corianderpass-standin",
		ShortUsage:  "corianderpass-standin <platform | minion> [flags]",
		ShortHelp:   "Serve stand-ins for the platform and for minions, for tests and a first try.",
		Subcommands: []*ffcli.Command{newPlatformCommand(), newMinionCommand()},
		Exec: func(context.Context, []string) error {
			return errors.New("standin: subcommand is missing, want platform or minion")
		},
	}
}

func newPlatformCommand() *ffcli.Command {
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	address := flags.String("address", "", "`address` to serve on")
	regions := flags.String("regions", "Mazowsze", "regions, `comma separated`")
	workers := flags.Int("workers", 10, "workers in each region")
	accelerators := flags.Int("accelerators", 8, "accelerators of each worker")
	perRack := flags.Int("rack", 3, "workers in each rack")
	cores := flags.Uint("cores", 64, "cores of each worker")
	memory := flags.Uint64("memory", 256<<10, "megabytes of each worker")
	rate := flags.Float64("appends", 400, "appends a second that the log accepts")
	keepTime := flags.Duration("keep", time.Hour, "how long the log keeps records")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "corianderpass-standin platform --address ADDRESS [flags]",
		ShortHelp:  "Serve an in-memory log and simulated workers.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			shape := platform.Worker{Accelerators: *accelerators, Cores: platform.Cores(*cores), Memory: platform.Megabytes(*memory)}
			p := &Platform{
				Log:     &Log{AppendsPerSecond: *rate, KeepTime: *keepTime},
				Workers: NewWorkers(WorkersInRacks(strings.Split(*regions, ","), *workers, *perRack, shape)...),
			}
			return serve(ctx, *address, p.Handler())
		},
	}
}

// WorkersInRacks returns descriptions of the given number of workers in each region,
// with the accelerators, cores and memory of shape. Each rack has perRack workers and
// is a failure domain.
func WorkersInRacks(regions []string, workers, perRack int, shape platform.Worker) []platform.Worker {
	var list []platform.Worker
	for _, region := range regions {
		for i := range workers {
			w := shape
			rack := i / max(1, perRack)
			w.ID = platform.WorkerID(fmt.Sprintf("%s-w%03d", region, i))
			w.Rack = platform.RackID(fmt.Sprintf("%s-r%02d", region, rack))
			w.Region = platform.Region(region)
			w.FailureDomain = platform.FailureDomain(fmt.Sprintf("%s-d%02d", region, rack))
			list = append(list, w)
		}
	}
	return list
}

func newMinionCommand() *ffcli.Command {
	flags := flag.NewFlagSet("minion", flag.ContinueOnError)
	address := flags.String("address", "", "`address` to serve on")
	agent := flags.String("agent", "", "local `address` of the agent")
	service := flags.String("service", "evidence", "`service` of the minion")
	slots := flags.Int("slots", 8, "requests served at a time")
	connections := flags.Int("connections", 64, "connections accepted")
	delay := flags.Duration("delay", 5*time.Millisecond, "time that every request takes")
	return &ffcli.Command{
		Name:       "minion",
		ShortUsage: "corianderpass-standin minion --address ADDRESS --agent ADDRESS [flags]",
		ShortHelp:  "Serve requests by answering them with their bodies.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			announced := make(chan error, 1)
			go func() {
				announced <- Announce(ctx, *agent, Announcement{Service: *service, Address: *address, Slots: *slots, Connections: *connections})
			}()
			m := &Minion{Delay: *delay}
			err := serve(ctx, *address, m.Handler())
			<-announced
			return err
		},
	}
}

// serve serves until the context ends, then waits up to drainTime for requests in
// progress.
func serve(ctx context.Context, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("standin: listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	select {
	case err := <-ended:
		return fmt.Errorf("standin: serve: %w", err)
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTime)
	defer cancel()
	_ = server.Shutdown(drainCtx)
	return nil
}
