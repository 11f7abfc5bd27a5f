// Package settings reads the settings of processes from TOML files and checks
// them strictly: a key that is not known is a mistake, not a wish.
package settings

import (
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// ErrInvalid tells that settings cannot be used; the text names the file, the
// key and the reason.
var ErrInvalid = errors.New("settings: invalid")

// Checker is a set of settings that knows its own rules.
type Checker interface {
	// Check returns the first rule that is broken, naming the key.
	Check() error
}

// Load reads the file over the defaults that the settings hold already.
func Load(path string, into Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Parse(path, string(data), into)
}

// Parse reads a document; the name is used in errors.
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

// CheckAddress tells whether the value is an IP address and a port.
func CheckAddress(key, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("%s %q is no address: %w", key, value, err)
	}
	if net.ParseIP(host) == nil {
		return errors.Errorf("%s %q must name an IP address, not a host", key, value)
	}
	return nil
}

// CheckAddresses checks each of several addresses.
func CheckAddresses(key string, values []string) error {
	seen := map[string]bool{}
	for i, v := range values {
		if err := CheckAddress(fmt.Sprintf("%s[%d]", key, i), v); err != nil {
			return err
		}
		if seen[v] {
			return errors.Errorf("%s[%d] %q stands twice", key, i, v)
		}
		seen[v] = true
	}
	return nil
}

// CheckDistinct tells whether addresses that one process listens on differ.
func CheckDistinct(keys, values []string) error {
	for i := range values {
		for k := range i {
			if values[i] == values[k] {
				return errors.Errorf("%s and %s are both %q", keys[k], keys[i], values[i])
			}
		}
	}
	return nil
}

// CheckName tells whether a required name is given.
func CheckName(key, value string) error {
	if value == "" {
		return errors.Errorf("%s is missing", key)
	}
	if strings.ContainsAny(value, " /\t\n") {
		return errors.Errorf("%s %q must not contain spaces or slashes", key, value)
	}
	return nil
}
