package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// getRequest returns the text of a request.
func getRequest(host, path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n", path, host, id)
}

// awaitServing waits until every gateway serves requests.
func awaitServing(c *cluster, host, path string) error {
	for i := range c.gateways {
		until := time.Now().Add(20 * time.Second)
		for served := 0; served < 3; {
			if time.Now().After(until) {
				return errors.New("a gateway does not serve")
			}
			if status, _ := get(c.front(i), host, path+"ready", fmt.Sprintf("a%07x", time.Now().UnixNano()&0xfffffff), 2*time.Second); status == 200 {
				served++
				continue
			}
			served = 0
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// get sends a GET request on a new connection. Status 0 stands for no whole answer.
func get(address, host, path, id string, limit time.Duration) (status int, header http.Header) {
	return send(address, getRequest(host, path, id), limit)
}

// send sends a request on a new connection. Status 0 stands for no whole answer.
func send(address, request string, limit time.Duration) (status int, header http.Header) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, nil
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
}

// readAnswer reads an answer and reports whether it is a whole success.
func readAnswer(r *record, reader *bufio.Reader, id string) bool {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.add("client gets no answer to attempt %s: %v", id, err)
		return false
	}
	size, err := io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != 200 {
		r.add("client gets %d for attempt %s, %d bytes, error %v", response.StatusCode, id, size, err)
	}
	return err == nil && response.StatusCode == 200
}
