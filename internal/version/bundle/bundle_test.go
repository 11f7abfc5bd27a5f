package bundle_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/version/bundle"
)

// operatorKey returns the private key of an operator; the same name gives the same key.
func operatorKey(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

// document returns a bundle document with the lines, followed by the named operators.
func document(operators []string, lines string) string {
	var b strings.Builder
	fmt.Fprintln(&b, lines)
	for _, name := range operators {
		publicKey := base64.StdEncoding.EncodeToString(operatorKey(name).Public().(ed25519.PublicKey))
		fmt.Fprintf(&b, "[[Operators]]\nName = %q\nPublicKey = %q\n", name, publicKey)
	}
	return b.String()
}

// An invalid document, or a draft without the signatures and approvals that it needs,
// must never come into force. The scripts in testdata have documents that Parse accepts
// or refuses with the reason, and steps that a Register applies or rejects, such as
// competing drafts, missing approvals and invalid signatures.
func TestParseAndRegister(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		register := &bundle.Register{}
		documents := map[string]string{}
		position := journal.Position{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			position.Offset++
			var r bundle.Record
			var name, by, signer string
			if d.HasArg("draft") {
				d.ScanArgs(t, "draft", &name)
				d.ScanArgs(t, "by", &by)
			}
			signer = by
			if d.HasArg("signed") {
				d.ScanArgs(t, "signed", &signer)
			}
			base := 0
			if d.HasArg("base") {
				d.ScanArgs(t, "base", &base)
			}
			sign := func(a bundle.Action) []byte {
				return bundle.Sign(operatorKey(signer), a, bundle.DigestOf(bundle.Version(base), documents[name]))
			}
			digest := func() bundle.Digest { return bundle.DigestOf(bundle.Version(base), documents[name]) }
			switch d.Cmd {
			case "parse":
				if _, err := bundle.Parse(document([]string{"ana", "bela"}, d.Input)); err != nil {
					return err.Error()
				}
				return "valid"
			case "draft":
				documents[name] = document([]string{"ana", "bela", "cid"}, d.Input)
				r.Draft = &bundle.Draft{Author: bundle.OperatorName(by), Base: bundle.Version(base), Document: documents[name], Signature: sign(bundle.ActionDraft)}
			case "approve":
				r.Approve = &bundle.Approval{Operator: bundle.OperatorName(by), Digest: digest(), Signature: sign(bundle.ActionApprove)}
			case "roll":
				r.Roll = &bundle.Roll{Operator: bundle.OperatorName(by), Digest: digest(), Signature: sign(bundle.ActionRoll)}
			case "restore":
				data, err := register.MarshalSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				register = &bundle.Register{}
				if err := register.RestoreSnapshot(data); err != nil {
					t.Fatal(err)
				}
				return describe(register)
			}
			if err := register.Apply(position, r); err != nil {
				text, _, _ := strings.Cut(err.Error(), string(digest()))
				return "rejected: " + text
			}
			return describe(register)
		})
	})
}

// describe returns the version in force, 0 for none, and the numbers of open drafts and of
// releases in the history.
func describe(g *bundle.Register) string {
	version := bundle.Version(0)
	if current := g.Current(); current != nil {
		version = current.Version
	}
	return fmt.Sprintf("in force %d, drafts %d, past %d", version, len(g.Drafts()), len(g.History()))
}
