package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"corianderpass/internal/process/command"
)

func run(t *testing.T, arguments ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = command.Run(t.Context(), arguments, &o, &e)
	return code, o.String(), e.String()
}

func TestWrongUsageIsNamed(t *testing.T) {
	for _, c := range []struct {
		arguments []string
		want      string
	}{
		{nil, "subcommand"},
		{[]string{"entry"}, "--settings"},
		{[]string{"entry", "--settings", "/nowhere.toml"}, "/nowhere.toml"},
		{[]string{"bundle"}, "subcommand"},
		{[]string{"bundle", "roll"}, "digest"},
		{[]string{"bundle", "draft", "/dev/null"}, "--address and --key"},
		{[]string{"job", "status"}, "one job"},
		{[]string{"request", "--service", "s"}, "--address and --token-file"},
	} {
		code, _, errOut := run(t, c.arguments...)
		if code != command.ExitUsage || !strings.Contains(errOut, c.want) {
			t.Errorf("%v: code %d, %q", c.arguments, code, errOut)
		}
	}
}

func TestHelpTellsANewcomerWhatThereIs(t *testing.T) {
	code, _, errOut := run(t, "--help")
	for _, want := range []string{"entry", "agent", "bundle", "job", "request", "status", "Exit codes"} {
		if code != command.ExitOK || !strings.Contains(errOut, want) {
			t.Errorf("code %d, help without %q:\n%s", code, want, errOut)
		}
	}
}

func TestAKeyIsNeverOverwritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ana.key")
	code, public, errOut := run(t, "bundle", "key", "--name", "ana", "--out", path)
	if code != command.ExitOK || len(strings.TrimSpace(public)) != 44 {
		t.Fatalf("code %d, %q, %q", code, public, errOut)
	}
	before, _ := os.ReadFile(path)
	if code, _, _ := run(t, "bundle", "key", "--name", "ana", "--out", path); code != command.ExitFailed {
		t.Errorf("code %d", code)
	}
	if after, _ := os.ReadFile(path); !bytes.Equal(before, after) {
		t.Error("the key was overwritten")
	}
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v", info.Mode())
	}
}

func TestAnEntryThatCannotBeReachedRanNothing(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, errOut := run(t, "request", "--address", "127.0.0.1:1", "--token-file", token, "--service", "s", "body")
	if code != command.ExitNotRun || !strings.Contains(errOut, "NotRun") {
		t.Errorf("code %d, %q", code, errOut)
	}
}

func TestDiffShowsWhatChanged(t *testing.T) {
	got := strings.Join(command.Diff("a\nb\nc\n", "a\nx\nc\nd\n"), "|")
	if want := "  a|- b|+ x|  c|+ d"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
