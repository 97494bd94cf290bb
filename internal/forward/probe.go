package forward

import (
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"
)

// probeOn asks for a path on a connection that nothing else uses.
func probeOn(c *conn, host, path string) error {
	header := &protocol.RequestHeader{}
	header.SetMethod("GET")
	header.SetRequestURI(path)
	header.SetHost(host)
	header.SetConnectionClose(true)
	if _, err := c.Write(header.Header()); err != nil {
		return errors.Wrap(err, "probe")
	}
	answer := &protocol.ResponseHeader{}
	if err := resp.ReadHeader(answer, c); err != nil {
		return errors.Wrap(err, "probe")
	}
	if answer.StatusCode() != 200 {
		return errors.Errorf("probe answered %d", answer.StatusCode())
	}
	return nil
}
