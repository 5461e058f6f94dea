package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// residentPeak returns the largest resident memory that a process has had, in bytes.
func residentPeak(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, err := strconv.Atoi(value)
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// costlyClient is a client that makes the sidecar hold much and then waits: what it sends, with %s for an id.
type costlyClient struct {
	name string
	send func(conn net.Conn, id string)
}

// costlyClients are the forms of requests that cost the sidecar most memory while they are not answered.
var costlyClients = []costlyClient{
	{"large bodies that stop half way", func(conn net.Conn, id string) {
		fmt.Fprintf(conn, "POST /pay/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nContent-Length: 65000\r\n\r\n%s", id, strings.Repeat("x", 50000))
	}},
	{"large chunked bodies that stop half way", func(conn net.Conn, id string) {
		fmt.Fprintf(conn, "POST /pay/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\nfde8\r\n%s", id, strings.Repeat("x", 50000))
	}},
	{"large bodies written slowly", func(conn net.Conn, id string) {
		fmt.Fprintf(conn, "POST /pay/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nContent-Length: 65000\r\n\r\n", id)
		for range 60 {
			if _, err := io.WriteString(conn, strings.Repeat("x", 1000)); err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
	}},
	{"heads of many short fields, whole", func(conn net.Conn, id string) {
		fmt.Fprintf(conn, "GET /look/never HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\n%s\r\n", id, manyFields)
	}},
	{"heads of many short fields and half a body", func(conn net.Conn, id string) {
		fmt.Fprintf(conn, "POST /pay/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\n%sContent-Length: 65000\r\n\r\n%s", id, manyFields, strings.Repeat("x", 50000))
	}},
	{"large heads of as many fields as are allowed, and half a body", func(conn net.Conn, id string) {
		field := fmt.Sprintf(": %s\r\n", strings.Repeat("v", 110))
		var head strings.Builder
		for i := range 120 {
			fmt.Fprintf(&head, "F%d%s", i, field)
		}
		fmt.Fprintf(conn, "POST /pay/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\n%sContent-Length: 65000\r\n\r\n%s", id, head.String(),
			strings.Repeat("x", 64000))
	}},
	{"large answers that are read slowly", func(conn net.Conn, id string) {
		conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		body := strings.Repeat("x", 64000)
		for i := range 20 {
			fmt.Fprintf(conn, "POST /pay/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s-%d\r\nContent-Length: 64000\r\n\r\n%s", id, i, body)
		}
	}},
	{"large requests, and further ones behind them", func(conn net.Conn, id string) {
		body := strings.Repeat("x", 60000)
		fmt.Fprintf(conn, "POST /pay/never HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nContent-Length: 60000\r\n\r\n%s", id, body)
		fmt.Fprintf(conn, "POST /pay/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s-b\r\nContent-Length: 60000\r\n\r\n%s", id, body)
	}},
}

// manyFields are as many fields of few bytes as a head may have by its size.
var manyFields = func() string {
	var b strings.Builder
	for i := range 1900 {
		fmt.Fprintf(&b, "%s:b\r\n", strconv.FormatInt(int64(i+1000), 36))
	}
	return b.String()
}()

// Hundreds of clients that connect at once and make the sidecar hold much, in each form and in all, do not take it over its memory
// limit, and usual clients are served. Guards against an account of bytes received in place of what they cost.
func TestCostlyClientsStayWithinMemory(t *testing.T) {
	const clients = 400
	for _, c := range costlyClients {
		t.Run(c.name, func(t *testing.T) { testCostlyClients(t, []costlyClient{c}, clients, 32) })
	}
	for _, memoryMB := range []int{32, 96} {
		t.Run(fmt.Sprintf("all forms, %d MB", memoryMB), func(t *testing.T) { testCostlyClients(t, costlyClients, clients, memoryMB) })
	}
}

// testCostlyClients has clients of the given forms come to a sidecar for some seconds, and looks at its memory.
func testCostlyClients(t *testing.T, forms []costlyClient, clients, memoryMB int) {
	t.Parallel()
	b := startTestbedWith(t, func(config string) string {
		return strings.Replace(config, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), 1)
	})
	go func() {
		for range b.requests { // as nobody else reads them
		}
	}()
	resting := residentPeak(t, b.process.Process.Pid)
	var id atomic.Int64
	var running sync.WaitGroup
	until := time.Now().Add(4 * time.Second)
	for n := range clients {
		running.Go(func() {
			for time.Now().Before(until) {
				conn, err := net.DialTimeout("tcp", b.address, 2*time.Second)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				conn.SetDeadline(time.Now().Add(4 * time.Second))
				go forms[n%len(forms)].send(conn, fmt.Sprintf("costly-%d", id.Add(1)))
				for { // slowly, so that answers wait, too
					if _, err := conn.Read(make([]byte, 1<<10)); err != nil {
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
				conn.Close()
			}
		})
	}
	running.Wait()
	peak := residentPeak(t, b.process.Process.Pid)
	t.Logf("%.1f MB before, %.1f MB at most, %d connections", float64(resting)/(1<<20), float64(peak)/(1<<20), id.Load())
	if peak > memoryMB<<20 {
		t.Errorf("%d clients took the sidecar to %.1f MB, the limit is %d MB", clients, float64(peak)/(1<<20), memoryMB)
	}
}
