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

// callTimeout bounds all calls to an entry that one command of an operator, or one request
// command, makes.
const callTimeout = 30 * time.Second

// operatorKey is the content of an operator's key file, in TOML.
type operatorKey struct {
	Name bundle.OperatorName
	// PrivateKey is the Ed25519 private key of 64 bytes in standard base64.
	PrivateKey string
}

// Check implements settings.Checker.
func (k *operatorKey) Check() error {
	if err := settings.CheckName("Name", string(k.Name)); err != nil {
		return err
	}
	key, err := base64.StdEncoding.DecodeString(k.PrivateKey)
	if err != nil || len(key) != ed25519.PrivateKeySize {
		return errors.New("PrivateKey is not a base64-encoded Ed25519 private key")
	}
	return nil
}

// privateKey returns the decoded key. Check must have succeeded.
func (k *operatorKey) privateKey() ed25519.PrivateKey {
	key, _ := base64.StdEncoding.DecodeString(k.PrivateKey)
	return key
}

// operatorFlags holds the flags of commands that authenticate as an operator.
type operatorFlags struct {
	address *string
	keyFile *string
}

func addOperatorFlags(flags *flag.FlagSet) operatorFlags {
	return operatorFlags{
		address: flags.String("address", "", "caller `address` of an entry or of the load balancer"),
		keyFile: flags.String("key", "", "the operator's key `file`; see corianderpass bundle key"),
	}
}

// open returns the operator's key and a client that authenticates with it.
func (f operatorFlags) open() (*client.Client, *operatorKey, error) {
	if *f.address == "" || *f.keyFile == "" {
		return nil, nil, usage("--address and --key are required")
	}
	k := &operatorKey{}
	if err := settings.Load(*f.keyFile, k); err != nil {
		return nil, nil, err
	}
	c := client.New(*f.address)
	c.Operator = string(k.Name)
	c.Key = k.privateKey()
	return c, k, nil
}

// withClient opens a client for the operator, runs call with it within callTimeout and closes
// the client.
func (f operatorFlags) withClient(ctx context.Context, call func(ctx context.Context, cl *client.Client, k *operatorKey) error) error {
	cl, k, err := f.open()
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, cl, k)
}

func newStatusCommand(c console) *ffcli.Command {
	flags := newFlagSet("status", c)
	operator := addOperatorFlags(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "corianderpass status --address ADDRESS --key FILE",
		ShortHelp:  "Show the processes, the bundle in force at each and the load of the region.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return operator.withClient(ctx, func(ctx context.Context, cl *client.Client, _ *operatorKey) error {
				s, err := cl.Status(ctx)
				if err != nil {
					return err
				}
				return c.printStatus(s)
			})
		},
	}
}

// printStatus prints a summary of the region, one line for each process and the number of
// processes whose bundle is outdated.
func (c console) printStatus(s client.Status) error {
	text := fmt.Sprintf("Region %s, reported by %s: bundle %d, ledger's bundle %d, log down: %t\n", s.Region, s.Entry, s.Version, s.LedgerVersion, s.LogDown)
	text += fmt.Sprintf("Workers %d (%d unavailable), accelerators held %d of %d, jobs running %d, waiting %d, guaranteed slots without a place %d\n",
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

// createKeyFile generates a key, writes it to a new file that only its owner can read and
// prints the public key in base64. It fails if the file exists.
func createKeyFile(c console, name, path string) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("command: generate key: %w", err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("command: create key file: %w", err)
	}
	k := operatorKey{Name: bundle.OperatorName(name), PrivateKey: base64.StdEncoding.EncodeToString(private)}
	if err := errors.WithMessage(toml.NewEncoder(file).Encode(k), "command: write key file"); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("command: close key file: %w", err)
	}
	_, err = fmt.Fprintln(c.out, base64.StdEncoding.EncodeToString(public))
	return err
}
