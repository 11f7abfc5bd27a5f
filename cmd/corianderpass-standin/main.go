// Command corianderpass-standin simulates the platform of pkg/platform and minions, for demos and
// tests. Its subcommands are in package standin.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"corianderpass/internal/process/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := standin.NewCommand().ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "corianderpass-standin:", err)
		os.Exit(1)
	}
}
