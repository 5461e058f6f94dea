// Command review-2 plays the cases 6 to 10 of the review. It starts the project's programs as the deploy file says and stands in for
// clients, instances and discovery. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Record is the record of a run: what was sent, answered and run, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// Now returns the time since the start of the run.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Log writes a line with the current time.
func (r *Record) Log(format string, args ...any) { r.LogAt(r.Now(), format, args...) }

// LogAt writes a line with the time of the event.
func (r *Record) LogAt(at time.Duration, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", at.Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// Rig is what all cases share.
type Rig struct {
	*Record
	Trouble bool   // false: the same run without the disruption
	Folder  string // temporary

	processes []*Process
}

// Broken is the error of a case whose rule was broken.
type Broken struct{ Reason string }

func (b *Broken) Error() string { return b.Reason }

var cases = map[string]func(*Rig) error{}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	r := &Rig{Record: &Record{file: file, start: time.Now()}, Trouble: os.Getenv("TROUBLE") != "0", Folder: folder}
	defer r.endProcesses()
	ended := make(chan error, 1)
	go func() { ended <- cases[os.Args[1]](r) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // nobody may be left to read the verdict
	select {
	case err = <-ended:
	case <-signals:
		err = fmt.Errorf("interrupted")
	case <-time.After(115 * time.Second):
		err = fmt.Errorf("the case took too long")
	}
	verdict, code := "held", 0
	if b, ok := err.(*Broken); ok {
		verdict, code = "broken: "+b.Reason, 1
	} else if err != nil {
		verdict, code = "could not run: "+err.Error(), 2
	}
	r.Log("verdict %s", verdict)
	r.endProcesses() // before anything that may fail
	fmt.Println("case", os.Args[1], verdict)
	return code
}

// Process is a program of the project that the rig has started.
type Process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Command returns the command of a key of the deploy file.
func Command(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("the deploy file has no %s", key)
	}
	return string(m[1]), nil
}

// Start starts a shell command from the root of the project, with a log file in the folder.
func (r *Rig) Start(name, command string, env ...string) (*Process, error) {
	tmp := filepath.Join(r.Folder, name+".tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.Folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.Folder, "TMPDIR=" + tmp}, env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{name: name, cmd: cmd, ended: make(chan struct{})}
	r.processes = append(r.processes, p)
	r.Log("start %s: %s", name, command)
	go func() {
		err := cmd.Wait()
		r.Log("end %s: %v", name, err)
		close(p.ended)
	}()
	return p, nil
}

// endProcesses ends the processes that still run, and keeps their logs in the record if KEEP_LOGS is set.
func (r *Rig) endProcesses() {
	processes := r.processes
	r.processes = nil
	for _, p := range processes {
		if p.Running() {
			p.Signal(syscall.SIGKILL)
			<-p.ended
		}
		if os.Getenv("KEEP_LOGS") != "" {
			text, _ := os.ReadFile(filepath.Join(r.Folder, p.name+".log"))
			r.Log("log of %s:\n%s", p.name, text)
		}
	}
}

// FreeAddress returns a loopback address that nobody listens on.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// write replaces a file by a rename.
func write(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
