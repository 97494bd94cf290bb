package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// outcome is what a client saw of one attempt.
type outcome struct {
	id     string
	status int // 0 without an answer
	seal   string
	text   string
	err    error
}

// ask sends one request through a gateway.
func ask(address, method, host, path string, key int64, body string, deadline time.Duration) outcome {
	id := fmt.Sprintf("a%06d", attempts.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return outcome{id: id, err: err}
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key >= 0 {
		request.Header.Set("X-Shard-Key", fmt.Sprint(key))
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return outcome{id: id, err: err}
	}
	defer response.Body.Close()
	var text strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	return outcome{id: id, status: response.StatusCode, seal: response.Header.Get("X-Server-Seal"), text: text.String()}
}
