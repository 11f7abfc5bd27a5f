package command

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
)

func newBundleCommand(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "bundle",
		ShortUsage: "corianderpass bundle <subcommand>",
		ShortHelp:  "Draft, review, approve and roll bundles of sharing rules.",
		FlagSet:    newFlagSet("bundle", c),
		Subcommands: []*ffcli.Command{
			newBundleKeyCommand(c), newBundleCheckCommand(c), newBundleDraftCommand(c), newBundleDiffCommand(c),
			newBundleConsentCommand(c, bundle.ActionApprove, "approve", "Approve a draft."),
			newBundleConsentCommand(c, bundle.ActionRoll, "roll", "Bring an approved draft into force."),
			newBundleStatusCommand(c),
		},
		Exec: func(context.Context, []string) error {
			return usage("the subcommand is missing; see corianderpass bundle --help")
		},
	}
}

func newBundleKeyCommand(c console) *ffcli.Command {
	flags := newFlagSet("key", c)
	name := flags.String("name", "", "the operator's `name`")
	out := flags.String("out", "", "path of the new key `file`, which must not exist yet")
	return &ffcli.Command{
		Name:       "key",
		ShortUsage: "corianderpass bundle key --name NAME --out FILE",
		ShortHelp:  "Create an operator's key file and print the public key.",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			if *name == "" || *out == "" {
				return usage("--name and --out are required")
			}
			return createKeyFile(c, *name, *out)
		},
	}
}

// readDocument returns the text of the bundle file that the only argument names.
func readDocument(arguments []string) (string, error) {
	if len(arguments) != 1 {
		return "", usage("exactly one bundle file is required")
	}
	data, err := os.ReadFile(arguments[0])
	if err != nil {
		return "", fmt.Errorf("command: read bundle: %w", err)
	}
	return string(data), nil
}

func newBundleCheckCommand(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "corianderpass bundle check FILE",
		ShortHelp:  "Check a bundle file without calling an entry.",
		FlagSet:    newFlagSet("check", c),
		Exec: func(_ context.Context, arguments []string) error {
			document, err := readDocument(arguments)
			if err != nil {
				return err
			}
			if _, err := bundle.Parse(document); err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.out, arguments[0], "is valid")
			return err
		},
	}
}

func newBundleDraftCommand(c console) *ffcli.Command {
	flags := newFlagSet("draft", c)
	operator := addOperatorFlags(flags)
	return &ffcli.Command{
		Name:       "draft",
		ShortUsage: "corianderpass bundle draft --address ADDRESS --key FILE BUNDLE",
		ShortHelp:  "Propose a bundle based on the one in force and print its digest.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			document, err := readDocument(arguments)
			if err != nil {
				return err
			}
			return operator.withClient(ctx, func(ctx context.Context, cl *client.Client, k *operatorKey) error {
				return c.draft(ctx, cl, k, document)
			})
		},
	}
}

// draft proposes the document as the successor of the bundle in force and prints its digest.
func (c console) draft(ctx context.Context, cl *client.Client, k *operatorKey, document string) error {
	current, err := cl.Bundle(ctx)
	if err != nil {
		return err
	}
	digest := bundle.DigestOf(bundle.Version(current.Version), document)
	_, err = cl.DraftBundle(ctx, client.Draft{
		Author: string(k.Name), Base: current.Version, Document: document,
		Signature: bundle.Sign(k.privateKey(), bundle.ActionDraft, digest),
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.out, digest)
	return err
}

// newBundleConsentCommand returns the command that signs the action, ActionApprove or
// ActionRoll, for the draft with the given digest.
func newBundleConsentCommand(c console, action bundle.Action, name, help string) *ffcli.Command {
	flags := newFlagSet(name, c)
	operator := addOperatorFlags(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "corianderpass bundle " + name + " --address ADDRESS --key FILE DIGEST",
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return usage("the digest of one draft is required")
			}
			return operator.withClient(ctx, func(ctx context.Context, cl *client.Client, k *operatorKey) error {
				digest := bundle.Digest(arguments[0])
				consent := client.Consent{Operator: string(k.Name), Digest: arguments[0], Signature: bundle.Sign(k.privateKey(), action, digest)}
				send := cl.ApproveBundle
				if action == bundle.ActionRoll {
					send = cl.RollBundle
				}
				status, err := send(ctx, consent)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(c.out, "in force:", status.Version)
				return err
			})
		},
	}
}

func newBundleStatusCommand(c console) *ffcli.Command {
	flags := newFlagSet("status", c)
	operator := addOperatorFlags(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "corianderpass bundle status --address ADDRESS --key FILE",
		ShortHelp:  "Show the bundle in force and the open drafts.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return operator.withClient(ctx, func(ctx context.Context, cl *client.Client, _ *operatorKey) error {
				status, err := cl.Bundle(ctx)
				if err != nil {
					return err
				}
				return c.print(status)
			})
		},
	}
}

func newBundleDiffCommand(c console) *ffcli.Command {
	flags := newFlagSet("diff", c)
	operator := addOperatorFlags(flags)
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "corianderpass bundle diff --address ADDRESS --key FILE [DIGEST | BUNDLE]",
		ShortHelp:  "Compare an open draft or a bundle file with the bundle in force.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return usage("the digest of an open draft or a bundle file is required")
			}
			return operator.withClient(ctx, func(ctx context.Context, cl *client.Client, _ *operatorKey) error {
				return c.diff(ctx, cl, arguments)
			})
		},
	}
}

// diff prints the lines by which the open draft or file that arguments name differs from the
// bundle in force.
func (c console) diff(ctx context.Context, cl *client.Client, arguments []string) error {
	status, err := cl.Bundle(ctx)
	if err != nil {
		return err
	}
	document, err := findDocument(status, arguments)
	if err != nil {
		return err
	}
	for _, line := range Diff(status.Document, document) {
		_, _ = fmt.Fprintln(c.out, line)
	}
	return nil
}

// findDocument returns the document of the open draft whose digest is the only argument. If
// there is none, it returns the text of the file of that name.
func findDocument(status client.BundleStatus, arguments []string) (string, error) {
	for _, d := range status.Drafts {
		if d.Digest == arguments[0] {
			return d.Document, nil
		}
	}
	return readDocument(arguments)
}

// Diff returns the lines of both texts in order, each with a prefix: "- " for a line that only
// from has, "+ " for one that only to has and "  " for one that both have. The number of
// changed lines is minimal. Newlines at the end of a text are ignored.
func Diff(from, to string) []string {
	a := strings.Split(strings.TrimRight(from, "\n"), "\n")
	b := strings.Split(strings.TrimRight(to, "\n"), "\n")
	common := commonSuffixLengths(a, b)
	var lines []string
	i, k := 0, 0
	for i < len(a) || k < len(b) {
		switch {
		case i < len(a) && k < len(b) && a[i] == b[k]:
			lines = append(lines, "  "+a[i])
			i++
			k++
		case k == len(b) || i < len(a) && common[i+1][k] >= common[i][k+1]:
			lines = append(lines, "- "+a[i])
			i++
		default:
			lines = append(lines, "+ "+b[k])
			k++
		}
	}
	return lines
}

// commonSuffixLengths returns a table that holds at [i][k] the length of the longest common
// subsequence of a[i:] and b[k:].
func commonSuffixLengths(a, b []string) [][]int {
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for k := len(b) - 1; k >= 0; k-- {
			if a[i] == b[k] {
				common[i][k] = common[i+1][k+1] + 1
				continue
			}
			common[i][k] = max(common[i+1][k], common[i][k+1])
		}
	}
	return common
}
