package settings_test

import (
	"errors"
	"strings"
	"testing"

	"corianderpass/internal/process/agent"
	"corianderpass/internal/process/entry"
	"corianderpass/internal/process/settings"
)

const validAgent = `
Name = "a"
Region = "r"
FailureDomain = "d"
LinkAddress = "127.0.0.1:1"
LocalAddress = "127.0.0.1:2"
Entries = ["127.0.0.1:3"]
`

const validEntry = `
Name = "e"
Region = "r"
FailureDomain = "d"
CallerAddress = "127.0.0.1:1"
LinkAddress = "127.0.0.1:2"
AdminAddress = "127.0.0.1:3"
PlatformAddress = "127.0.0.1:4"
[[RootOperators]]
Name = "ana"
PublicKey = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
[[RootOperators]]
Name = "bela"
PublicKey = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAE="
`

// Each case makes one change to valid settings of an agent or an entry. The error must
// contain the file name and the key or the reason.
func TestParseNamesFileKeyAndReason(t *testing.T) {
	for _, test := range []struct {
		name, old, new, want string
		entry                bool
	}{
		{name: "valid agent"},
		{name: "valid entry", entry: true},
		{name: "unknown key", old: `Name = "a"`, new: `Name = "a"` + "\nColour = 1", want: "unknown key Colour"},
		{name: "wrong type", old: `Name = "a"`, new: `Name = 1`, want: "Name"},
		{name: "missing", old: `Region = "r"`, new: "", want: "Region is missing"},
		{name: "host name", old: "127.0.0.1:1", new: "host:1", want: "LinkAddress"},
		{name: "no port", old: "127.0.0.1:2", new: "127.0.0.1", want: "LocalAddress"},
		{name: "same address", old: "127.0.0.1:2", new: "127.0.0.1:1", want: "LinkAddress and LocalAddress are both"},
		{name: "no entries", old: `["127.0.0.1:3"]`, new: "[]", want: "Entries is empty"},
		{name: "twice", old: `["127.0.0.1:3"]`, new: `["127.0.0.1:3", "127.0.0.1:3"]`, want: "is listed twice"},
		{name: "level", old: `Name = "a"`, new: `Name = "a"` + "\nLogLevel = \"Loud\"", want: "LogLevel"},
		{name: "unit", old: `Name = "a"`, new: `Name = "a"` + "\nDrainTime = \"5\"", want: "DrainTime"},
		{name: "one root", entry: true, old: "[[RootOperators]]\nName = \"bela\"\nPublicKey = \"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAE=\"", new: "", want: "RootOperators"},
		{name: "bad key", entry: true, old: "AAE=", new: "", want: "RootOperators"},
		{name: "negative", entry: true, old: `Name = "e"`, new: "Name = \"e\"\nNoticeTime = \"-1s\"", want: "NoticeTime"},
	} {
		document := validAgent
		var into settings.Checker = &agent.Settings{}
		if test.entry {
			document, into = validEntry, &entry.Settings{}
		}
		if test.old != "" && !strings.Contains(document, test.old) {
			t.Fatalf("%s: the valid document does not contain the text to replace", test.name)
		}
		err := settings.Parse("file.toml", strings.Replace(document, test.old, test.new, 1), into)
		if test.want == "" {
			if err != nil {
				t.Errorf("%s: got error %v, want none", test.name, err)
			}
			continue
		}
		if !errors.Is(err, settings.ErrInvalid) || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), "file.toml") {
			t.Errorf("%s: got error %v, want ErrInvalid with the file name and the wanted text", test.name, err)
		}
	}
}
