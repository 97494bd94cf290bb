// Package logging configures the structured logs of the process.
package logging

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/settings"
)

// Setup makes apex/log write to w with the level and format of the settings, and forwards the error
// log of hertz, the HTTP library, to apex/log.
func Setup(s *settings.LogSettings, w io.Writer) error {
	level, err := log.ParseLevel(string(s.Level))
	if err != nil {
		return errors.Wrapf(err, "parse log level %q", s.Level)
	}
	log.SetLevel(level)
	if s.Format == settings.LogFormatJson {
		log.SetHandler(json.New(w))
	} else {
		log.SetHandler(&lineHandler{writer: w})
	}
	hlog.SetLevel(hlog.LevelError)
	hlog.SetOutput(hertzWriter{})
	return nil
}

// lineHandler writes one line per entry: time, level, message and the fields sorted by name.
type lineHandler struct {
	mu     sync.Mutex
	writer io.Writer
}

// HandleLog writes one entry.
func (h *lineHandler) HandleLog(entry *log.Entry) error {
	var line strings.Builder
	fmt.Fprintf(&line, "%s %-5s %s", entry.Timestamp.UTC().Format(time.RFC3339Nano), entry.Level, entry.Message)
	for _, name := range entry.Fields.Names() {
		fmt.Fprintf(&line, " %s=%q", name, fmt.Sprint(entry.Fields.Get(name)))
	}
	line.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.writer, line.String())
	return err
}

// hertzWriter logs the error lines of hertz as warnings.
type hertzWriter struct{}

// Write logs one line.
func (hertzWriter) Write(line []byte) (int, error) {
	log.WithField("library", "hertz").Warn(strings.TrimSpace(string(line)))
	return len(line), nil
}
