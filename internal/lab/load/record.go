package load

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"
)

// maxRecorded is the maximum body size of a recorded request, in bytes.
const maxRecorded = 64 << 10

// hopHeaders are header fields that belong to a connection, not to a request; a replay sets its own.
var hopHeaders = []string{"Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Te", "Trailer", "Upgrade", "Proxy-Connection"}

// Record proxies requests received on ln to a URL and writes each one to the trace on arrival, until ctx ends.
func Record(ctx context.Context, ln net.Listener, to *url.URL, t *Tracer, log *slog.Logger) error {
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(to) },
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, err error) {
			log.Debug("no response from the target", "error", err)
			w.WriteHeader(http.StatusBadGateway)
		},
	}
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		receivedAt := time.Now()
		body, err := io.ReadAll(io.LimitReader(r.Body, maxRecorded+1))
		switch {
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
			return
		case len(body) > maxRecorded:
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		item := Item{Method: r.Method, Target: r.URL.RequestURI(), Headers: map[string]string{}, Body: body}
		for name, values := range r.Header {
			item.Headers[name] = values[0]
		}
		for _, name := range hopHeaders {
			delete(item.Headers, name)
		}
		if err := t.Add(receivedAt, item); err != nil {
			log.Error("cannot write the trace", "error", err)
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		proxy.ServeHTTP(w, r)
	})}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		server.Shutdown(shutdownCtx)
	})
	defer stop()
	if err := server.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}
