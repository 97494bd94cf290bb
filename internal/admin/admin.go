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

// Server serves /metrics and /dump.
type Server struct {
	http *http.Server
}

// Start listens on an address and serves in the background. Dump returns the state,
// which is sent as JSON.
func Start(address string, registry *prometheus.Registry, dump func() any) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for operators")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(dump()); err != nil {
			log.WithError(err).Warn("state dump not sent")
		}
	})
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
