// Package adminsocket serves the state of a process on a unix socket. A client sends one command as a line and receives JSON:
// a single value or a stream of values.
package adminsocket

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"kitewood/internal/errnoclass"
)

// timeout bounds the time that a client may take to send its command and to read a value, so that no client holds a descriptor
// forever.
const timeout = 2 * time.Second

// maxClients is the maximum number of concurrent clients; further connections are closed.
const maxClients = 16

// Handler sends the values of a command. It returns when the context ends or sending fails.
type Handler func(ctx context.Context, send func(any) error) error

// StateCommand is the command for the state of the whole process.
const StateCommand = "state"

// SingleValue returns a Handler that sends one value.
func SingleValue(value func() any) Handler {
	return func(_ context.Context, send func(any) error) error { return send(value()) }
}

// Serve handles the given commands on the socket path until the context ends. Only the user of the process may connect. A socket
// left behind by an earlier process is replaced; it is an error if another process still listens on it.
func Serve(ctx context.Context, path string, log *slog.Logger, handlers map[string]Handler) error {
	if c, err := net.DialTimeout("unix", path, timeout); err == nil {
		c.Close()
		return errors.New(path + ": another process listens on this socket")
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return err
	}
	context.AfterFunc(ctx, func() { ln.Close() })
	go acceptClients(ctx, ln, log, handlers)
	return nil
}

// acceptClients serves the clients of a listener until it is closed. Of a run of failures only the first is logged.
func acceptClients(ctx context.Context, ln net.Listener, log *slog.Logger, handlers map[string]Handler) {
	var open atomic.Int32
	failing := false
	for {
		c, err := ln.Accept()
		if err != nil {
			if errnoclass.Of(errnoclass.Accept, err) == errnoclass.GiveUp {
				return
			}
			if !failing {
				log.Error("cannot accept a connection on the admin socket", "error", err)
			}
			failing = true
			select { // for example, out of descriptors
			case <-time.After(timeout):
			case <-ctx.Done():
			}
			continue
		}
		failing = false
		if open.Add(1) > maxClients {
			open.Add(-1)
			c.Close()
			continue
		}
		go func() {
			defer open.Add(-1)
			handleConn(ctx, c, handlers)
		}()
	}
}

// handleConn serves one client.
func handleConn(ctx context.Context, c net.Conn, handlers map[string]Handler) {
	defer c.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(timeout))
	command, err := bufio.NewReaderSize(c, 64).ReadString('\n')
	if err != nil {
		return
	}
	enc := json.NewEncoder(c)
	send := func(v any) error {
		c.SetWriteDeadline(time.Now().Add(timeout))
		return enc.Encode(v)
	}
	handler := handlers[strings.TrimSpace(command)]
	if handler == nil {
		send(map[string]string{"error": fmt.Sprintf("there is no %q here", strings.TrimSpace(command))})
		return
	}
	go func() { // the handler ends when the client closes the connection or sends anything else
		c.SetReadDeadline(time.Time{})
		c.Read(make([]byte, 1))
		cancel()
	}()
	handler(ctx, send)
}

// Stream sends a command and passes each received value to receive, until receive fails, the context ends or the stream ends.
func Stream(ctx context.Context, path, command string, receive func(json.RawMessage) error) error {
	c, err := net.DialTimeout("unix", path, timeout)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := fmt.Fprintln(c, command); err != nil {
		return err
	}
	for dec := json.NewDecoder(c); ; {
		var text json.RawMessage
		if err := dec.Decode(&text); err != nil {
			return err
		}
		var failure struct{ Error string }
		if json.Unmarshal(text, &failure) == nil && failure.Error != "" {
			return errors.New(failure.Error)
		}
		if err := receive(text); err != nil {
			return err
		}
	}
}

// errStop ends Stream after the first value.
var errStop = errors.New("stop after the first value")

// Query sends a command and decodes its single value into into.
func Query(path, command string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*timeout)
	defer cancel()
	err := Stream(ctx, path, command, func(text json.RawMessage) error {
		if err := json.Unmarshal(text, into); err != nil {
			return err
		}
		return errStop
	})
	if err == errStop {
		return nil
	}
	return err
}
