package command_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/command"
	"corianderpass/internal/process/scheduler"
	"corianderpass/platform"
)

// The failure: entries answer that a job does not exist from a state that is older than the
// platform's bound on visibility. It comes about if MaxRefuseAge is a constant and a new
// installation has a shorter bound. MaxRefuseAge must stay between half the bound and the bound.
func TestMaxRefuseAgeStaysBelowVisibilityBound(t *testing.T) {
	for _, visible := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		s := command.IntakeSettings(platform.Settings{Bounds: platform.Bounds{VisibilityTime: visible, RevocationTime: 5 * time.Second}})
		if s.MaxRefuseAge >= visible || s.MaxRefuseAge < visible/2 {
			t.Errorf("visibility bound %v: MaxRefuseAge is %v, want at least half of the bound and less than the bound", visible, s.MaxRefuseAge)
		}
	}
}

// The failure: entries do not recognize that the leader's process has ended, or that the process at its address is
// another one, because the error or the reply is lost on its way through the link.
func TestCallEntryReportsProcessAtAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := link.NewServer(link.Handlers{
		scheduler.MethodStatus: link.Handle(func(context.Context, scheduler.StatusQuery) (scheduler.Status, error) {
			return scheduler.Status{ID: "entry", MayLead: true, DecidedAt: 7}, nil
		}),
	}).Serve(ctx, l)
	pool := link.NewPool(link.DialTCP)
	defer pool.Close()
	call, address := command.NewCallEntry(pool), link.Address(l.Addr().String())
	status, err := call(t.Context(), address, scheduler.StatusQuery{ReadNow: true})
	if want := (scheduler.Status{ID: "entry", MayLead: true, DecidedAt: 7}); err != nil || status != want {
		t.Errorf("running process: got %+v, error %v, want %+v", status, err, want)
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
	pool.Close()
	if _, err := call(t.Context(), address, scheduler.StatusQuery{}); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("process that has ended: got error %v, want ECONNREFUSED", err)
	}
}
