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

// maxRecorded bounds the body of a recorded request.
const maxRecorded = 64 << 10

// hopHeaders are fields of a connection and not of a request; a replay makes its own.
var hopHeaders = []string{"Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Te", "Trailer", "Upgrade", "Proxy-Connection"}

// Record passes what comes to listen on to a URL, and writes each request into the trace as it comes, until ctx ends.
func Record(ctx context.Context, ln net.Listener, to *url.URL, t *Tracer, log *slog.Logger) error {
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(to) },
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, err error) {
			log.Debug("the target did not answer", "error", err)
			w.WriteHeader(http.StatusBadGateway)
		},
	}
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		came := time.Now()
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
		if err := t.Add(came, item); err != nil {
			log.Error("the trace cannot be written", "error", err)
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		proxy.ServeHTTP(w, r)
	})}
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		server.Shutdown(end)
	})
	defer stop()
	if err := server.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}
