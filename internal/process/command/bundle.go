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

func newBundle(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "bundle",
		ShortUsage: "corianderpass bundle <subcommand>",
		ShortHelp:  "Review, approve and roll the rules of sharing.",
		FlagSet:    newFlags("bundle", c),
		Subcommands: []*ffcli.Command{
			newBundleKey(c), newBundleCheck(c), newBundleDraft(c), newBundleDiff(c),
			newBundleConsent(c, bundle.ActionApprove, "approve", "Approve a draft."),
			newBundleConsent(c, bundle.ActionRoll, "roll", "Bring an approved draft into force."),
			newBundleStatus(c),
		},
		Exec: func(context.Context, []string) error {
			return usage("name a subcommand; see corianderpass bundle --help")
		},
	}
}

func newBundleKey(c console) *ffcli.Command {
	flags := newFlags("key", c)
	name := flags.String("name", "", "the operator's `name`")
	out := flags.String("out", "", "the new key `file`; it must not exist")
	return &ffcli.Command{
		Name:       "key",
		ShortUsage: "corianderpass bundle key --name NAME --out FILE",
		ShortHelp:  "Make an operator's key and print its public part.",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			if *name == "" || *out == "" {
				return usage("--name and --out are needed")
			}
			return writeKey(c, *name, *out)
		},
	}
}

func readDocument(arguments []string) (string, error) {
	if len(arguments) != 1 {
		return "", usage("name one bundle file")
	}
	data, err := os.ReadFile(arguments[0])
	if err != nil {
		return "", fmt.Errorf("command: read bundle: %w", err)
	}
	return string(data), nil
}

func newBundleCheck(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "corianderpass bundle check FILE",
		ShortHelp:  "Check a bundle file without an entry.",
		FlagSet:    newFlags("check", c),
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

func newBundleDraft(c console) *ffcli.Command {
	flags := newFlags("draft", c)
	operator := addOperatorFlags(flags)
	return &ffcli.Command{
		Name:       "draft",
		ShortUsage: "corianderpass bundle draft --address ADDRESS --key FILE BUNDLE",
		ShortHelp:  "Propose a bundle on top of the one in force, and print its digest.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			document, err := readDocument(arguments)
			if err != nil {
				return err
			}
			return operator.act(ctx, func(ctx context.Context, cl *client.Client, k *operatorKey) error {
				return c.draft(ctx, cl, k, document)
			})
		},
	}
}

// draft proposes the document on top of the bundle in force and prints its digest.
func (c console) draft(ctx context.Context, cl *client.Client, k *operatorKey, document string) error {
	current, err := cl.Bundle(ctx)
	if err != nil {
		return err
	}
	digest := bundle.DigestOf(bundle.Version(current.Version), document)
	_, err = cl.DraftBundle(ctx, client.Draft{
		Author: string(k.Name), Base: current.Version, Document: document,
		Signature: bundle.Sign(k.private(), bundle.ActionDraft, digest),
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.out, digest)
	return err
}

func newBundleConsent(c console, action bundle.Action, name, help string) *ffcli.Command {
	flags := newFlags(name, c)
	operator := addOperatorFlags(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "corianderpass bundle " + name + " --address ADDRESS --key FILE DIGEST",
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return usage("name the draft's digest")
			}
			return operator.act(ctx, func(ctx context.Context, cl *client.Client, k *operatorKey) error {
				digest := bundle.Digest(arguments[0])
				consent := client.Consent{Operator: string(k.Name), Digest: arguments[0], Signature: bundle.Sign(k.private(), action, digest)}
				step := cl.ApproveBundle
				if action == bundle.ActionRoll {
					step = cl.RollBundle
				}
				status, err := step(ctx, consent)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(c.out, "in force:", status.Version)
				return err
			})
		},
	}
}

func newBundleStatus(c console) *ffcli.Command {
	flags := newFlags("status", c)
	operator := addOperatorFlags(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "corianderpass bundle status --address ADDRESS --key FILE",
		ShortHelp:  "Show the bundle in force and the open drafts.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return operator.act(ctx, func(ctx context.Context, cl *client.Client, _ *operatorKey) error {
				status, err := cl.Bundle(ctx)
				if err != nil {
					return err
				}
				return c.print(status)
			})
		},
	}
}

func newBundleDiff(c console) *ffcli.Command {
	flags := newFlags("diff", c)
	operator := addOperatorFlags(flags)
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "corianderpass bundle diff --address ADDRESS --key FILE [DIGEST | BUNDLE]",
		ShortHelp:  "Compare an open draft, or a file, with the bundle in force.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return usage("name a draft's digest or a bundle file")
			}
			return operator.act(ctx, func(ctx context.Context, cl *client.Client, _ *operatorKey) error {
				return c.diff(ctx, cl, arguments)
			})
		},
	}
}

// diff prints how a draft or a file differs from the bundle in force.
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

// findDocument returns the open draft with the digest, or the file's text.
func findDocument(status client.BundleStatus, arguments []string) (string, error) {
	for _, d := range status.Drafts {
		if d.Digest == arguments[0] {
			return d.Document, nil
		}
	}
	return readDocument(arguments)
}

// Diff returns the lines that must be taken out ("-") and put in ("+") to turn
// one text into the other, and unchanged lines ("  ") between them.
func Diff(from, to string) []string {
	a := strings.Split(strings.TrimRight(from, "\n"), "\n")
	b := strings.Split(strings.TrimRight(to, "\n"), "\n")
	common := commonLengths(a, b)
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

// commonLengths returns the lengths of the longest common subsequences of all tails.
func commonLengths(a, b []string) [][]int {
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
