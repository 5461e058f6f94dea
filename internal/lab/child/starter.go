// Package child starts the lab's child processes, measures their resource use, and ends them.
package child

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
)

// Starter starts child processes from one thread that lives until Close. The system kills a child when the thread that started it
// ends (Pdeathsig), so no child is left when the lab itself is killed.
type Starter struct {
	tasks chan func()
}

// NewStarter returns a Starter; Close ends its thread.
func NewStarter() *Starter {
	s := &Starter{tasks: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked, so the thread ends with the goroutine, after Close
		for f := range s.tasks {
			f()
		}
	}()
	return s
}

// Start starts a command.
func (s *Starter) Start(cmd *exec.Cmd) error {
	// In a process group of its own, a child does not receive a terminal's Ctrl-C; the lab decides when to stop it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	s.tasks <- func() { done <- cmd.Start() }
	return <-done
}

// Close ends the thread, which kills the children that are still running.
func (s *Starter) Close() { close(s.tasks) }

// Memory returns a memory metric of a process in bytes, by its name in /proc (VmRSS, VmHWM); 0 if it cannot be read. The peak that
// the system reports for an ended child is no substitute, as it includes the parent's memory from before the child's exec.
func Memory(pid int, metric string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == metric+":" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}
