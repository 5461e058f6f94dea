package dataplane

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxAttempts    = 4                      // of one request at the most, as the platform's settings have it
	deadlineMargin = 20 * time.Millisecond  // an answer leaves so long before the client stops waiting
	connectTimeout = 250 * time.Millisecond // as the platform's settings have it
	maxBodyBytes   = 64 << 10               // the protocol's largest
)

// forwarder is the handler of a proxy.
type forwarder struct {
	picker picker
	client http.Client
}

func newForwarder(p picker) *forwarder {
	return &forwarder{picker: p, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 20 * time.Second,
		DisableCompression: true, DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}}}
}

// answer is an instance's.
type response struct {
	status int
	body   []byte
	load   map[string]float64
}

func (f *forwarder) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health/ready" {
		if !f.picker.ready() {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	left, err := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	if err != nil || r.Header.Get("X-Correlation-Id") == "" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond-deadlineMargin)
	defer cancel()
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(payload) > maxBodyBytes {
		out.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if f.picker.shouldDrop() {
		out.Header().Set("Retry-After", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var tried []string
	for len(tried) < maxAttempts && ctx.Err() == nil {
		at, end := f.picker.pick(tried)
		if at == "" {
			break
		}
		tried = append(tried, at)
		a, never, err := f.send(ctx, r, payload, at)
		end(err == nil && a.status == http.StatusOK, a.load)
		switch {
		case never:
			continue
		case errors.Is(err, context.DeadlineExceeded):
			out.WriteHeader(http.StatusGatewayTimeout)
		case err != nil:
			out.WriteHeader(http.StatusBadGateway)
		default:
			out.WriteHeader(a.status)
			out.Write(a.body)
		}
		return
	}
	out.WriteHeader(http.StatusServiceUnavailable)
}

// try sends a request to a destination. never tells that it surely has not run there.
func (f *forwarder) send(ctx context.Context, r *http.Request, payload []byte, at string) (a response, never bool, err error) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+at+r.URL.RequestURI(), bytes.NewReader(payload))
	if err != nil {
		return a, true, err
	}
	for _, name := range []string{"X-Correlation-Id", "X-Service-Class", "X-Weight-Hint"} {
		q.Header.Set(name, r.Header.Get(name))
	}
	until, _ := ctx.Deadline()
	q.Header.Set("X-Time-Left-Ms", strconv.FormatInt(time.Until(until).Milliseconds(), 10))
	got, err := f.client.Do(q)
	if err != nil {
		var op *net.OpError
		return a, errors.As(err, &op) && op.Op == "dial", err
	}
	defer got.Body.Close()
	a = response{status: got.StatusCode, load: parseLoadReport(got.Header.Get("X-Backend-Load"))}
	a.body, err = io.ReadAll(got.Body)
	return a, got.Header.Get("X-Unprocessed") != "", err
}

// loadOf reads a load report of the protocol. What cannot be read is left out.
func parseLoadReport(text string) map[string]float64 {
	out := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out
}
