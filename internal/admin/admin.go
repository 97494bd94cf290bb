// Package admin serves the metrics and the state dump of a process over HTTP.
package admin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// readTimeout limits the time to read a request, including its body.
const readTimeout = 5 * time.Second

// Options configures a Server.
type Options struct {
	Address  string // IP:port
	Registry *prometheus.Registry
	Dump     func() any              // returns the state, to be encoded as JSON
	Handlers map[string]http.Handler // additional handlers by mux pattern
}

// Server serves /metrics, /dump and the handlers of its options.
type Server struct {
	http *http.Server
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
	s := &Server{http: &http.Server{Handler: mux, ReadTimeout: readTimeout}}
	go func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("admin server failed")
		}
	}()
	return s, nil
}

// Stop closes the listener and all connections without waiting for requests in progress.
func (s *Server) Stop() {
	_ = s.http.Close() // operators can repeat an interrupted request
}
