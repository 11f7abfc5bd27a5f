package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// process is one process of the project, started with the command of the deploy file. The port of the metrics
// differs from that of the deploy file, since all machines share one address here.
type process struct {
	record   *record
	name     string
	role     string
	binary   string
	root     string
	settings string
	log      string
	metrics  int
	cmd      *exec.Cmd
	ended    chan struct{}
}

// start starts the process.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(p.binary, "platform", p.role, "--metrics-port", strconv.Itoa(p.metrics))
	c.Dir = p.root
	c.Env = []string{"CORIANDERPASS_CONFIG=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(p.settings)}
	c.Stdout, c.Stderr = log, log
	// The process ends with this one, also if that is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	p.cmd, p.ended = c, ended
	p.record.write("process %s starts", p.name)
	return nil
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.record.write("process %s is killed", p.name)
	_ = p.cmd.Process.Kill()
	<-p.ended
	p.cmd = nil
}

// freeze stops the process for the time.
func (p *process) freeze(d time.Duration) {
	p.record.write("process %s freezes", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	p.record.write("process %s wakes", p.name)
}
