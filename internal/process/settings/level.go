package settings

import (
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// CheckLogLevel returns an error unless the value is empty or the name of a log level.
func CheckLogLevel(key, value string) error {
	if value != "" && hclog.LevelFromString(value) == hclog.NoLevel {
		return errors.Errorf("%s %q is not one of Trace, Debug, Info, Warn and Error", key, value)
	}
	return nil
}

// NewLogger returns a logger that writes JSON lines to standard error. An empty or invalid
// level means Info.
func NewLogger(name, level string) hclog.Logger {
	l := hclog.LevelFromString(strings.ToLower(level))
	if l == hclog.NoLevel {
		l = hclog.Info
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: l, JSONFormat: true})
}
