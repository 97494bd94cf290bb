// Package admin serves the metrics and the state dump of a process over HTTP.
package admin

import (
	"context"
	"encoding/json"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/galenalug/galenalug/internal/clientconn"
)

const (
	// readTimeout limits the time to read a request, including its body.
	readTimeout = 5 * time.Second
	// idleTimeout limits how long a connection may be idle. Scrapers use one for each scrape, or one scrape a minute.
	idleTimeout = 2 * time.Minute
	// maxConns is the number of open connections, of operators and scrapers.
	maxConns = 32
	// maxHeaderBytes is the maximum size of a head, bytes. net/http adds 4 KiB to it.
	maxHeaderBytes = 16 << 10
)

// Options configures a Server.
type Options struct {
	Address  string // IP:port
	Registry *prometheus.Registry
	Dump     func() any              // returns the state, to be encoded as JSON
	Handlers map[string]http.Handler // additional handlers by mux pattern
	Metrics  *clientconn.Metrics     // of connections; may be nil
}

// Server serves /metrics, /dump and the handlers of its options.
type Server struct {
	http *http.Server
	stop context.CancelFunc // of the watch of connections
}

// Start listens on the address and serves requests in the background.
func Start(o Options) (*Server, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on admin address")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(o.Dump()); err != nil {
			log.WithError(err).Warn("sending the state dump failed")
		}
	})
	for path, handler := range o.Handlers {
		mux.Handle(path, handler)
	}
	guard := clientconn.New(clientconn.Options{Name: "admin", Max: maxConns, Rate: clientconn.DefaultRate, Metrics: o.Metrics})
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{stop: stop, http: &http.Server{
		Handler: mux, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: clientconn.WithConn,
		ErrorLog:    stdlog.New(io.Discard, "", 0), // net/http would log errors that clients cause
	}}
	go guard.Watch(ctx)
	go func() {
		if err := s.http.Serve(guard.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("admin server failed")
		}
	}()
	return s, nil
}

// Stop closes the listener and all connections without waiting for requests in progress.
func (s *Server) Stop() {
	s.stop()
	_ = s.http.Close() // operators can repeat an interrupted request
}
