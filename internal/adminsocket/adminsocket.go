// Package adminsocket shows the state of a process on a unix socket: whoever connects writes a word on a line and gets what it
// names as JSON, one value or one after another.
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
)

// timeout is how long whoever asks may take to write its word and to read a value, so that none holds a descriptor for good.
const timeout = 2 * time.Second

// atOnce is how many may ask at a time; others are closed.
const atOnce = 16

// Answer sends what a word names. It ends with the context, and when sending fails.
type Handler func(ctx context.Context, send func(any) error) error

// State is the word of what Ask gets where it names none.
const StateCommand = "state"

// Once is an Answer of one value.
func SingleValue(value func() any) Handler {
	return func(_ context.Context, send func(any) error) error { return send(value()) }
}

// Serve answers until the context ends. Only the owner of the process may connect. A socket that an earlier process has left is
// replaced, one that somebody listens on is an error.
func Serve(ctx context.Context, path string, log *slog.Logger, answers map[string]Handler) error {
	if c, err := net.DialTimeout("unix", path, timeout); err == nil {
		c.Close()
		return errors.New(path + ": another process listens there")
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
	go func() {
		var open atomic.Int32
		for {
			c, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				log.Error("admin socket", "error", err)
				time.Sleep(timeout) // a lack of descriptors, say
				continue
			}
			if open.Add(1) > atOnce {
				open.Add(-1)
				c.Close()
				continue
			}
			go func() {
				defer open.Add(-1)
				answer(ctx, c, answers)
			}()
		}
	}()
	return nil
}

// answer answers one caller.
func answer(ctx context.Context, c net.Conn, answers map[string]Handler) {
	defer c.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(timeout))
	word, err := bufio.NewReaderSize(c, 64).ReadString('\n')
	if err != nil {
		return
	}
	out := json.NewEncoder(c)
	send := func(v any) error {
		c.SetWriteDeadline(time.Now().Add(timeout))
		return out.Encode(v)
	}
	a := answers[strings.TrimSpace(word)]
	if a == nil {
		send(map[string]string{"error": fmt.Sprintf("there is no %q here", strings.TrimSpace(word))})
		return
	}
	go func() { // its end, or anything more from it, ends the answer
		c.SetReadDeadline(time.Time{})
		c.Read(make([]byte, 1))
		cancel()
	}()
	a(ctx, send)
}

// Follow asks for a word and hands each value that comes to take, until that fails, the context ends or there are no more.
func Stream(ctx context.Context, path, word string, take func(json.RawMessage) error) error {
	c, err := net.DialTimeout("unix", path, timeout)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := fmt.Fprintln(c, word); err != nil {
		return err
	}
	for in := json.NewDecoder(c); ; {
		var text json.RawMessage
		if err := in.Decode(&text); err != nil {
			return err
		}
		var refused struct{ Error string }
		if json.Unmarshal(text, &refused) == nil && refused.Error != "" {
			return errors.New(refused.Error)
		}
		if err := take(text); err != nil {
			return err
		}
	}
}

// errEnough ends Follow after the first value.
var errEnough = errors.New("enough")

// Ask reads the one value that a word names.
func Query(path, word string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*timeout)
	defer cancel()
	err := Stream(ctx, path, word, func(text json.RawMessage) error {
		if err := json.Unmarshal(text, into); err != nil {
			return err
		}
		return errEnough
	})
	if err == errEnough {
		return nil
	}
	return err
}
