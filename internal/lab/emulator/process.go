package emulator

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// tasks are the goroutines of a run, so that its end can wait for all of them.
type tasks struct{ sync.WaitGroup }

// starter starts children from one thread that never ends: the system ends a child with the thread that started it
// (Pdeathsig), so that none is left when the lab itself is killed.
type starter struct {
	work chan func()
}

func newStarter() *starter {
	s := &starter{work: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine, when no child is left
		for f := range s.work {
			f()
		}
	}()
	return s
}

func (s *starter) start(cmd *exec.Cmd) error {
	// A group of their own keeps a terminal's Ctrl-C from reaching children before the lab has said so.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	s.work <- func() { done <- cmd.Start() }
	return <-done
}

func (s *starter) close() { close(s.work) }

// memory is a figure of a process's memory in bytes, by its name in /proc (VmRSS, VmHWM); 0 if it cannot be read. The
// peak that the system tells of an ended child will not do: it counts the parent's memory from before the child's start.
func memory(pid int, figure string) int64 {
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
