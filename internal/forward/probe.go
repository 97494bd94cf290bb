package forward

import (
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// sendProbe sends a GET request and returns an error unless the response has status 200. The connection
// cannot be used again.
func sendProbe(c *conn, host, path string) error {
	header := &protocol.RequestHeader{}
	header.SetMethod("GET")
	header.SetRequestURI(path)
	header.SetHost(host)
	header.SetConnectionClose(true)
	if _, err := c.Write(header.Header()); err != nil {
		return errors.Wrap(err, "write probe")
	}
	response := &protocol.ResponseHeader{}
	if err := c.readHeader(response); err != nil {
		return errors.Wrap(err, "read probe response")
	}
	if response.StatusCode() != 200 {
		return errors.Errorf("probe returned status %d, want 200", response.StatusCode())
	}
	return nil
}
