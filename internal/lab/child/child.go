package child

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Child is a process whose output goes to a file.
type Child struct {
	Done    chan struct{} // closed at its end
	cmd     *exec.Cmd
	logPath string
}

// Start starts a program with more variables in its environment and its output in a file.
func Start(log string, env []string, program string, args ...string) (*Child, error) {
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c := &Child{Done: make(chan struct{}), cmd: exec.Command(program, args...), logPath: log}
	c.cmd.Env = append(os.Environ(), env...)
	c.cmd.Stdout, c.cmd.Stderr = out, out
	starter := NewStarter()
	if err := starter.Start(c.cmd); err != nil {
		starter.Close()
		return nil, err
	}
	go func() {
		c.cmd.Wait()
		starter.Close()
		close(c.Done)
	}()
	return c, nil
}

// Control is a kitewood-control process.
type ControlProcess struct {
	*Child
	Address string // that proxies connect to
}

// StartControl starts a control service in plain text, with its files in a folder. rest is the configuration's pools and routes.
func StartControl(program, dir, name, rest string, env ...string) (c *ControlProcess, err error) {
	at, err := Reserve()
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			at.Release()
		}
	}()
	path := filepath.Join(dir, name+"-config.yaml")
	text := fmt.Sprintf("name: %s\nplaintext: true\nlisteners: [{address: %q}]\n%s", name, at, rest)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	started, err := Start(filepath.Join(dir, name+".log"), env, program, "serve", "--config", path)
	if err != nil {
		return nil, err
	}
	go func() {
		<-started.Done
		at.Release()
	}()
	return &ControlProcess{Child: started, Address: at.String()}, nil
}

// Signal sends a signal.
func (c *Child) Signal(s syscall.Signal) { c.cmd.Process.Signal(s) }

// Kill ends it at once.
func (c *Child) Kill() {
	c.cmd.Process.Kill()
	<-c.Done
}

// Stop asks it to end and kills it if it takes longer than a time. It tells what was wrong with its end, "" for nothing:
// a status other than 0, or that it had to be killed.
func (c *Child) Stop(within time.Duration) string {
	c.Signal(syscall.SIGTERM)
	late := ""
	select {
	case <-c.Done:
	case <-time.After(within):
		c.Kill()
		late = fmt.Sprintf("it did not end within %s; ", within)
	}
	if !c.cmd.ProcessState.Success() {
		return late + "it ended with " + c.cmd.ProcessState.String()
	}
	return late
}

// Said is what it has written.
func (c *Child) Output() string {
	text, err := os.ReadFile(c.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Memory is a figure of its memory: see the function of this name.
func (c *Child) Memory(figure string) int64 { return Memory(c.cmd.Process.Pid, figure) }

// CPU is the processor time that it has used, 0 if that cannot be read.
func (c *Child) CPU() time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * time.Second / 100 // the kernel's unit for programs
}
