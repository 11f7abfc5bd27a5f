// Package settings reads the settings of a process from a TOML file and validates them.
// An unknown key is an error. Each process has a settings type of its own, which
// implements Checker with the check functions of this package.
package settings

import (
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// ErrInvalid means that settings cannot be used. The error text names the file, the key
// and the reason.
var ErrInvalid = errors.New("settings: invalid")

// Checker is a settings type that can validate itself.
type Checker interface {
	// Check returns an error that names the key of the first invalid setting.
	Check() error
}

// Load reads the file into the settings and checks them. Settings whose key the file does
// not contain keep their values, which are the defaults.
func Load(path string, into Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Parse(path, string(data), into)
}

// Parse is like Load, but reads the TOML text of a document. Errors contain the name.
func Parse(name, document string, into Checker) error {
	meta, err := toml.Decode(document, into)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalid, name, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		keys := make([]string, 0, len(unknown))
		for _, k := range unknown {
			keys = append(keys, k.String())
		}
		return fmt.Errorf("%w: %s: unknown key %s", ErrInvalid, name, strings.Join(keys, ", "))
	}
	if err := into.Check(); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalid, name, err)
	}
	return nil
}

// CheckAddress returns an error unless the value is an IP address with a port.
func CheckAddress(key, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("%s %q is not an address with a port: %w", key, value, err)
	}
	if net.ParseIP(host) == nil {
		return errors.Errorf("%s %q must have an IP address, not a host name", key, value)
	}
	return nil
}

// CheckAddresses applies CheckAddress to each value and returns an error if two are equal.
func CheckAddresses(key string, values []string) error {
	listed := map[string]bool{}
	for i, value := range values {
		if err := CheckAddress(fmt.Sprintf("%s[%d]", key, i), value); err != nil {
			return err
		}
		if listed[value] {
			return errors.Errorf("%s[%d] %q is listed twice", key, i, value)
		}
		listed[value] = true
	}
	return nil
}

// CheckDistinct returns an error if two of the addresses that a process listens on are
// equal. keys[i] is the key of values[i].
func CheckDistinct(keys, values []string) error {
	for i := range values {
		for j := range i {
			if values[i] == values[j] {
				return errors.Errorf("%s and %s are both %q", keys[j], keys[i], values[i])
			}
		}
	}
	return nil
}

// CheckName returns an error if the value is empty or contains a space, a tab, a newline or
// a slash.
func CheckName(key, value string) error {
	if value == "" {
		return errors.Errorf("%s is missing", key)
	}
	if strings.ContainsAny(value, " /\t\n") {
		return errors.Errorf("%s %q must not contain spaces or slashes", key, value)
	}
	return nil
}
