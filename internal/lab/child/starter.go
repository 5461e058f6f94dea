// Package child starts the lab's processes, sees what they use, and ends them.
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

// Starter starts children from one thread that never ends: the system ends a child with the thread that started it
// (Pdeathsig), so that none is left when the lab itself is killed.
type Starter struct {
	work chan func()
}

// NewStarter returns a Starter; Close ends its thread.
func NewStarter() *Starter {
	s := &Starter{work: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine, when no child is left
		for f := range s.work {
			f()
		}
	}()
	return s
}

// Start starts a command.
func (s *Starter) Start(cmd *exec.Cmd) error {
	// A group of their own keeps a terminal's Ctrl-C from reaching children before the lab has said so.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	s.work <- func() { done <- cmd.Start() }
	return <-done
}

// Close ends the thread, and with it what it has started.
func (s *Starter) Close() { close(s.work) }

// Memory is a figure of a process's memory in bytes, by its name in /proc (VmRSS, VmHWM); 0 if it cannot be read. The
// peak that the system tells of an ended child will not do: it counts the parent's memory from before the child's start.
func Memory(pid int, figure string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == figure+":" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}
