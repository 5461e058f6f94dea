// Package rig holds the stand-ins of the review's cases: instances, discovery, clients and the platform, as the operators' protocol
// page describes them, and the record of what was sent, run and answered. It uses the standard library alone.
package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record of a run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// NewRecord creates record.txt in the folder that the environment names.
func NewRecord() *Record {
	f, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	if err != nil {
		Skip("record: %v", err)
	}
	return &Record{start: time.Now(), file: f}
}

// Since returns the time since the start of the run in seconds.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Line writes one line with the time since the start.
func (r *Record) Line(format string, args ...any) { r.LineAt(time.Now(), format, args...) }

// LineAt writes one line for something that happened at a time.
func (r *Record) LineAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f "+format+"\n", append([]any{t.Sub(r.start).Seconds()}, args...)...)
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Skip ends a case that cannot run.
func Skip(format string, args ...any) {
	StopAll()
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	os.Exit(NotRun)
}

var (
	startedMu sync.Mutex
	started   []*Sidecar
)

// init has the processes that the case started end with it when it is told to end.
func init() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		Skip("told to end")
	}()
}

// Note writes the id of a process that was started to the file that run-case.sh reads: whatever is left at the end is ended by it.
func Note(pid int) {
	f, err := os.OpenFile(os.Getenv("PIDS_FILE"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer f.Close()
	fmt.Fprintln(f, pid)
}

// StopAll ends all processes that the case has started.
func StopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, s := range started {
		s.cmd.Process.Kill()
		<-s.Ended
	}
	started = nil
}

// Finish ends the processes and the case.
func Finish(code int) {
	StopAll()
	os.Exit(code)
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Skip("no free port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Object is a JSON object.
type Object = map[string]any

// Class is a class of requests in the settings.
type Class struct {
	Name, Repeat, Group   string
	Aim, GiveUp, Window   float64 // seconds
	Worth, LateShare      float64
	WorkLowMS, WorkHighMS int // range of the work that instances do for a request
}

// Site holds the figures of a deployment that a sidecar is told.
type Site struct {
	Classes          []Class
	Tier             string
	Zones            []string
	Peers            int
	MemoryMB         int
	Sockets          int
	Cancel           bool
	ParallelTries    bool
	SendCap          int
	ReportVia        string
	ReportFields     []string
	DrainGrace       float64
	ColdShare        float64
	ColdS            float64
	OverloadFactor   float64
	TipAfterS        float64
	ConnIdleS        float64
	ConnectTimeoutS  float64
	MaxRetryAfterS   float64
	PassesDeadline   bool
	AskWithinS       float64
	Probes           bool
	WorstWindow      float64
	WorstClass       float64
	Whole            float64
	ReportsInAnswers string // text of the load report in each answer, empty for none
}

// Settings returns the object that a sidecar is told.
func (s *Site) Settings(me int) Object {
	var profiles []Object
	for _, c := range s.Classes {
		profiles = append(profiles, Object{"name": c.Name, "repeat": c.Repeat, "group": c.Group, "aimS": c.Aim, "giveUpS": c.GiveUp, "windowS": c.Window,
			"points": c.Worth, "lateShare": c.LateShare, "stream": false})
	}
	return Object{
		"clients": Object{"marksRetry": false}, "countedBy": "request", "family": "chain", "familyInfo": Object{"passesDeadline": true},
		"invariants": Object{"askWithinS": s.AskWithinS, "coldS": s.ColdS, "coldShare": s.ColdShare, "graceToAnswerS": 0.02,
			"overloadFactor": s.OverloadFactor, "stopSendingWithinS": s.DrainGrace, "tipAfterS": s.TipAfterS},
		"locality": 0, "me": me, "objectiveMix": Object{"whole": s.Whole, "worstClass": s.WorstClass, "worstTenant": 0.0, "worstWindow": s.WorstWindow},
		"overShareWorth": 0.1, "peersTotal": s.Peers,
		"permissions": Object{"cancel": s.Cancel, "connIdleS": s.ConnIdleS, "connectTimeoutS": s.ConnectTimeoutS, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
			"maxRetryAfterS": s.MaxRetryAfterS, "mostHeld": 34955, "parallelTries": s.ParallelTries, "peers": false, "probes": s.Probes, "retryAfter": true,
			"sendCap": s.SendCap, "streamsPerConn": 1},
		"profiles": profiles, "projects": []any{}, "registryMode": "ask", "resolutionS": 0.005, "shapes": []string{"std"},
		"telemetry": Object{"fields": s.ReportFields, "via": s.ReportVia}, "tier": 0, "tiers": []string{s.Tier}, "weights": "off", "zones": s.Zones,
	}
}

// Sidecar is one process of the project's sidecar, started with the command of the deploy file.
type Sidecar struct {
	Name, Listen string
	Ended        chan struct{} // closed when the process has ended
	EndedAt      time.Time
	ExitText     string
	cmd          *exec.Cmd
	logPath      string
}

// PID returns the process's id. The command of the deploy file ends in exec, so it is that of the sidecar itself.
func (s *Sidecar) PID() int { return s.cmd.Process.Pid }

// Signal sends a signal to the process.
func (s *Sidecar) Signal(sig syscall.Signal) { s.cmd.Process.Signal(sig) }

// Log returns what the process has written.
func (s *Sidecar) Log() string {
	text, _ := os.ReadFile(s.logPath)
	return string(text)
}

// StartSidecar starts a sidecar from the project's root and waits until it is ready. The folder is a temporary one.
func StartSidecar(dir string, me int, listen string, site *Site, d *Discovery) *Sidecar {
	s := &Sidecar{Name: fmt.Sprintf("n%d", me), Listen: listen, Ended: make(chan struct{})}
	config := Object{"name": s.Name, "listen": listen, "discovery": d.Address, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": Object{"cores": 1.0, "memory_mb": site.MemoryMB, "sockets": site.Sockets}, "known": d.list(), "settings": site.Settings(me)}
	text, err := json.Marshal(config)
	if err != nil {
		Skip("configuration: %v", err)
	}
	path := filepath.Join(dir, s.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		Skip("configuration: %v", err)
	}
	s.logPath = filepath.Join(dir, fmt.Sprintf("%s-%d.log", s.Name, time.Now().UnixNano()))
	log, err := os.Create(s.logPath)
	if err != nil {
		Skip("log: %v", err)
	}
	s.cmd = exec.Command("/bin/sh", "-c", os.Getenv("RUN_COMMAND"))
	s.cmd.Dir = os.Getenv("PROJECT_ROOT")
	s.cmd.Env = append(os.Environ(), "ROUTER_NAME="+s.Name, "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+d.Address, "ROUTER_CONFIG="+path)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		Skip("%s: %v", os.Getenv("RUN_COMMAND"), err)
	}
	log.Close()
	Note(s.PID())
	go func() {
		s.cmd.Wait()
		s.EndedAt, s.ExitText = time.Now(), s.cmd.ProcessState.String()
		close(s.Ended)
	}()
	startedMu.Lock()
	started = append(started, s)
	startedMu.Unlock()
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if status, err := get(listen, "/health/ready"); err == nil && status == 200 {
			return s
		}
		select {
		case <-s.Ended:
			Skip("the sidecar ended at its start: %s\n%s", s.ExitText, s.Log())
		default:
		}
	}
	Skip("the sidecar was not ready within 15 s\n%s", s.Log())
	return nil
}

// get asks one path and returns the status.
func get(address, path string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n", path)
	buf := make([]byte, 64)
	n, err := conn.Read(buf)
	status := 0
	fmt.Sscanf(strings.TrimPrefix(string(buf[:n]), "HTTP/1.1 "), "%d", &status)
	return status, err
}
