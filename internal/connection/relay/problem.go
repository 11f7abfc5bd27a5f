package relay

import (
	"github.com/pkg/errors"

	"corianderpass/pkg/platform"
)

// problem is the kind of an error of the log as a peer sends it; empty means none.
type problem string

const (
	problemLogDown   problem = "Down"
	problemRefused   problem = "Refused"
	problemThrottled problem = "Throttled"
	problemTrimmed   problem = "Trimmed"
	// problemOther is any other error. An append may have taken effect.
	problemOther problem = "Other"
)

func problemOf(err error) problem {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, errRefused):
		return problemRefused
	case errors.Is(err, platform.ErrLogDown):
		return problemLogDown
	case errors.Is(err, platform.ErrThrottled):
		return problemThrottled
	case errors.Is(err, platform.ErrTrimmed):
		return problemTrimmed
	}
	return problemOther
}

func (p problem) err() error {
	switch p {
	case "":
		return nil
	case problemLogDown:
		return errors.WithMessage(platform.ErrLogDown, "relay: error at the peer")
	case problemRefused:
		return errors.WithMessage(errRefused, "relay: error at the peer")
	case problemThrottled:
		return errors.WithMessage(platform.ErrThrottled, "relay: error at the peer")
	case problemTrimmed:
		return errors.WithMessage(platform.ErrTrimmed, "relay: error at the peer")
	}
	return errors.WithMessage(platform.ErrAnswerLost, "relay: error at the peer")
}
