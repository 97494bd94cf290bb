package fleet

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/clientconn"
	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/routes"
)

const (
	// maxRoutesBytes is the maximum size of a route configuration.
	maxRoutesBytes = 16 << 20
	// operatorTimeout limits a call by an operator.
	operatorTimeout = 4 * time.Second
)

// OperatorAPI returns the HTTP handler of wire.PathRoutes, which reads and replaces the route configuration in the YAML
// format of package config, of wire.PathFleetServers and of wire.PathEvacuations. Calls must carry the secret as bearer
// token. If the secret is empty, all calls are accepted if openNetwork is true and rejected otherwise.
func (h *Host) OperatorAPI(secret []byte, openNetwork bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathRoutes, h.getRoutes)
	mux.HandleFunc("PUT "+wire.PathRoutes, h.putRoutes)
	mux.HandleFunc("GET "+wire.PathFleetServers, h.getServers)
	mux.HandleFunc("GET "+wire.PathEvacuations, h.getEvacuations)
	mux.HandleFunc("POST "+wire.PathEvacuations+"/{domain}/{change}", h.postEvacuation)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		credential := []byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
		authorized := len(secret) > 0 && subtle.ConstantTimeCompare(credential, secret) == 1
		if !authorized && (len(secret) > 0 || !openNetwork) {
			writeRefusal(w, http.StatusUnauthorized, wire.OutcomeNotRun, "unauthorized", "the operators' credential is missing or wrong")
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (h *Host) getRoutes(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	current, err := h.Config(ctx)
	if err != nil {
		writeCallError(w, err)
		return
	}
	text, err := config.FormatRoutes(current)
	if err != nil {
		writeCallError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	writeBody(w, text)
}

func (h *Host) putRoutes(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRoutesBytes))
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, wire.OutcomeNotRun, "invalid", err.Error())
		return
	}
	put, err := config.ParseRoutes("configuration", text)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, wire.OutcomeNotRun, "invalid", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	reply, err := h.Put(ctx, put)
	if err != nil {
		writeCallError(w, err)
		return
	}
	writePutReply(w, reply)
}

func (h *Host) getServers(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	servers, err := h.Servers(ctx)
	if err != nil {
		writeCallError(w, err)
		return
	}
	writeJSON(w, servers)
}

func (h *Host) getEvacuations(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	status, err := h.Evacuations(ctx)
	if err != nil {
		writeCallError(w, err)
		return
	}
	writeJSON(w, status)
}

// evacuationResponse is the response body for an acknowledged start or end of an evacuation.
type evacuationResponse struct {
	Domain  string `json:"domain"`
	Outcome string `json:"outcome"`
}

func (h *Host) postEvacuation(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("change")
	if kind != "start" && kind != "end" {
		writeRefusal(w, http.StatusNotFound, wire.OutcomeNotRun, "invalid", "an evacuation has a start and an end")
		return
	}
	received, err := clientconn.From(r.Context()).RequestReceived()
	if err != nil {
		writeCallError(w, errors.Wrap(ErrUnavailable, err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	change := evacuation.Change{
		Domain: r.PathValue("domain"), Start: kind == "start", Millis: time.Now().UnixMilli(), By: r.Header.Get(headerOperator),
	}
	if change.By == "" {
		change.By = r.RemoteAddr
	}
	if err := h.Evacuate(ctx, change, received); err != nil {
		writeCallError(w, err)
		return
	}
	writeJSON(w, evacuationResponse{Domain: change.Domain, Outcome: kind + " acknowledged"})
}

// headerOperator names the operator.
const headerOperator = "Galena-Operator"

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		log.WithError(err).Error("encoding the response to an operator failed")
	}
	writeBody(w, body)
}

// putResponse is the response body for an accepted change.
type putResponse struct {
	Outcome routes.Outcome `json:"outcome"`
	Version uint64         `json:"version"` // version in force
}

func writePutReply(w http.ResponseWriter, reply routes.PutReply) {
	switch reply.Outcome {
	case routes.OutcomeAccepted:
		writeJSON(w, putResponse{Outcome: reply.Outcome, Version: reply.Current})
	case routes.OutcomeConflict:
		writeRefusal(w, http.StatusConflict, wire.OutcomeNotRun, string(reply.Outcome),
			fmt.Sprintf("%s: %d", reply.Detail, reply.Current))
	case routes.OutcomeUnclear:
		writeRefusal(w, http.StatusServiceUnavailable, wire.OutcomeUnknown, string(reply.Outcome), reply.Detail)
	default:
		writeRefusal(w, http.StatusBadRequest, wire.OutcomeNotRun, string(reply.Outcome), reply.Detail)
	}
}

// writeCallError responds to a failed call with 404 if it names no failure domain, 503 if it had no effect, or with 504 if
// its outcome is unknown.
func writeCallError(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrUnknownDomain) {
		writeRefusal(w, http.StatusNotFound, wire.OutcomeNotRun, "unknown", err.Error())
		return
	}
	if errors.Is(err, ErrUnavailable) {
		writeRefusal(w, http.StatusServiceUnavailable, wire.OutcomeNotRun, "unavailable", err.Error())
		return
	}
	writeRefusal(w, http.StatusGatewayTimeout, wire.OutcomeUnknown, "unknown", err.Error())
}

func writeRefusal(w http.ResponseWriter, status int, outcome, reason, detail string) {
	log.WithFields(log.Fields{"status": status, "outcome": outcome, "reason": reason, "detail": detail}).Warn("operator call refused")
	body, err := json.Marshal(wire.Refusal{Outcome: outcome, Reason: reason, Detail: detail})
	if err != nil {
		log.WithError(err).Error("encoding the refusal of an operator call failed")
	}
	w.WriteHeader(status)
	writeBody(w, body)
}

func writeBody(w http.ResponseWriter, body []byte) {
	if _, err := w.Write(body); err != nil {
		log.WithError(err).Warn("sending the response to an operator failed")
	}
}
