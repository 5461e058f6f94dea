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
	maxAttempts    = 4                      // at one request, as in the platform's settings
	deadlineMargin = 20 * time.Millisecond  // reserved for sending the response before the client's timeout
	connectTimeout = 250 * time.Millisecond // as in the platform's settings
	maxBodyBytes   = 64 << 10               // the protocol's limit
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

// response is the response of an endpoint.
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
		address, done := f.picker.pick(tried)
		if address == "" {
			break
		}
		tried = append(tried, address)
		resp, unprocessed, err := f.send(ctx, r, payload, address)
		done(err == nil && resp.status == http.StatusOK, resp.load)
		switch {
		case unprocessed:
			continue
		case errors.Is(err, context.DeadlineExceeded):
			out.WriteHeader(http.StatusGatewayTimeout)
		case err != nil:
			out.WriteHeader(http.StatusBadGateway)
		default:
			out.WriteHeader(resp.status)
			out.Write(resp.body)
		}
		return
	}
	out.WriteHeader(http.StatusServiceUnavailable)
}

// send sends a request to an endpoint. unprocessed reports that the endpoint certainly has not run it.
func (f *forwarder) send(ctx context.Context, r *http.Request, payload []byte, address string) (resp response, unprocessed bool, err error) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.URL.RequestURI(), bytes.NewReader(payload))
	if err != nil {
		return resp, true, err
	}
	for _, name := range []string{"X-Correlation-Id", "X-Service-Class", "X-Weight-Hint"} {
		q.Header.Set(name, r.Header.Get(name))
	}
	deadline, _ := ctx.Deadline()
	q.Header.Set("X-Time-Left-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	got, err := f.client.Do(q)
	if err != nil {
		var op *net.OpError
		return resp, errors.As(err, &op) && op.Op == "dial", err
	}
	defer got.Body.Close()
	resp = response{status: got.StatusCode, load: parseLoadReport(got.Header.Get("X-Backend-Load"))}
	resp.body, err = io.ReadAll(got.Body)
	return resp, got.Header.Get("X-Unprocessed") != "", err
}

// parseLoadReport parses a load report of the protocol and skips invalid values.
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
