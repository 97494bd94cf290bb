package bodybuffer

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/membudget"
)

// ErrMemoryShort means that the memory budget has no room for a request body.
var ErrMemoryShort = errors.New("bodybuffer: there is no memory for the request body")

// firstRequestBytes is the memory for a request body at first, bytes. It doubles as bytes arrive.
const firstRequestBytes = 4 << 10

// ReadRequest reads a request body of the given length, -1 if that is not known, up to a number of bytes, and reports
// whether that is the whole body. The memory is taken from the account as bytes arrive, whatever length was announced.
func ReadRequest(source io.Reader, length, most int64, account *membudget.Account, now func() time.Duration) (body []byte, ended bool, err error) {
	if length >= 0 {
		most = min(most, length)
	}
	for int64(len(body)) < most {
		if len(body) == cap(body) {
			if body, err = grow(body, most, account, now); err != nil {
				return nil, false, err
			}
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		account.Moved(now(), int64(n))
		if errors.Is(err, io.EOF) {
			ended = true
			break
		}
		if err != nil {
			return nil, false, err
		}
	}
	ended = ended || int64(len(body)) == length
	if length >= 0 && ended && int64(len(body)) < length {
		return nil, false, io.ErrUnexpectedEOF
	}
	return body, ended, nil
}

// grow doubles the memory of a body that has filled it.
func grow(body []byte, most int64, account *membudget.Account, now func() time.Duration) ([]byte, error) {
	size := min(max(2*int64(cap(body)), firstRequestBytes), most)
	if !account.Take(now(), membudget.RequestBodies, size-int64(cap(body))) {
		return nil, ErrMemoryShort
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}
