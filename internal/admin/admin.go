// Package admin serves a process's metrics and state dump over HTTP.
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

// readTimeout bounds the arrival of a request.
const readTimeout = 5 * time.Second

// Options of a Server.
type Options struct {
	Address  string // IP:port
	Registry *prometheus.Registry
	Dump     func() any              // returns the state, which is sent as JSON
	Handlers map[string]http.Handler // further handlers, by path
}

// Server serves /metrics, /dump and the handlers of its options.
type Server struct {
	http *http.Server
}

// Start listens and serves in the background.
func Start(o Options) (*Server, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for operators")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(o.Dump()); err != nil {
			log.WithError(err).Warn("state dump not sent")
		}
	})
	for path, handler := range o.Handlers {
		mux.Handle(path, handler)
	}
	s := &Server{http: &http.Server{Handler: mux, ReadTimeout: readTimeout}}
	go func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("listener for operators ended")
		}
	}()
	return s, nil
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	_ = s.http.Close() // operators ask again
}
