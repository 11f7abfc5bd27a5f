package command

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"corianderpass/internal/process/settings"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
)

// callTimeout bounds one call to an entry.
const callTimeout = 30 * time.Second

// operatorKey is an operator's key file.
type operatorKey struct {
	Name bundle.OperatorName
	// PrivateKey is an Ed25519 key in base64.
	PrivateKey string
}

// Check implements settings.Checker.
func (k *operatorKey) Check() error {
	if err := settings.CheckName("Name", string(k.Name)); err != nil {
		return err
	}
	key, err := base64.StdEncoding.DecodeString(k.PrivateKey)
	if err != nil || len(key) != ed25519.PrivateKeySize {
		return errors.New("PrivateKey is no Ed25519 private key in base64")
	}
	return nil
}

func (k *operatorKey) private() ed25519.PrivateKey {
	key, _ := base64.StdEncoding.DecodeString(k.PrivateKey)
	return key
}

// operatorFlags are the flags of commands that act as an operator.
type operatorFlags struct {
	address *string
	key     *string
}

func addOperatorFlags(flags *flag.FlagSet) operatorFlags {
	return operatorFlags{
		address: flags.String("address", "", "caller `address` of an entry or of the balancer"),
		key:     flags.String("key", "", "the operator's key `file`; see bundle key"),
	}
}

func (f operatorFlags) open() (*client.Client, *operatorKey, error) {
	if *f.address == "" || *f.key == "" {
		return nil, nil, usage("--address and --key are needed")
	}
	k := &operatorKey{}
	if err := settings.Load(*f.key, k); err != nil {
		return nil, nil, err
	}
	c := client.New(*f.address)
	c.Operator = string(k.Name)
	c.Key = k.private()
	return c, k, nil
}

// act calls f as the operator, within the time of a call.
func (f operatorFlags) act(ctx context.Context, do func(ctx context.Context, cl *client.Client, k *operatorKey) error) error {
	cl, k, err := f.open()
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return do(ctx, cl, k)
}

func newStatus(c console) *ffcli.Command {
	flags := newFlags("status", c)
	operator := addOperatorFlags(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "corianderpass status --address ADDRESS --key FILE",
		ShortHelp:  "Show processes, the bundle in force at each, and the region's load.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return operator.act(ctx, func(ctx context.Context, cl *client.Client, _ *operatorKey) error {
				s, err := cl.Status(ctx)
				if err != nil {
					return err
				}
				return c.printStatus(s)
			})
		},
	}
}

// printStatus prints what an operator wants to see first, then the processes.
func (c console) printStatus(s client.Status) error {
	text := fmt.Sprintf("Region %s seen by %s: bundle %d, ledger's bundle %d, log down: %t\n", s.Region, s.Entry, s.Version, s.LedgerVersion, s.LogDown)
	text += fmt.Sprintf("Workers %d (%d away), accelerators held %d of %d, jobs running %d, waiting %d, guaranteed slots without a place %d\n",
		s.Workers, s.Away, s.Held, s.Accelerators, s.RunningJobs, s.WaitingJobs, s.Shortfall)
	for _, p := range s.Processes {
		text += fmt.Sprintf("%-6s %-12s %-22s bundle %d", p.Role, p.Region, p.Address, p.Version)
		if p.Role == "Agent" {
			text += fmt.Sprintf(" %s slots %d/%d", p.Service, p.Busy, p.Slots)
		}
		if p.Leaving {
			text += " leaving"
		}
		text += "\n"
	}
	text += fmt.Sprintf("%d of %d processes lag behind bundle %d\n", len(s.Lagging()), len(s.Processes), s.Version)
	_, err := fmt.Fprint(c.out, text)
	return err
}

// writeKey makes a new operator key file and prints the public part.
func writeKey(c console, name, path string) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("command: make key: %w", err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("command: make key file: %w", err)
	}
	k := operatorKey{Name: bundle.OperatorName(name), PrivateKey: base64.StdEncoding.EncodeToString(private)}
	if err := errors.WithMessage(toml.NewEncoder(file).Encode(k), "command: write key file"); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("command: write key file: %w", err)
	}
	_, err = fmt.Fprintln(c.out, base64.StdEncoding.EncodeToString(public))
	return err
}
