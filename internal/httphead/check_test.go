package httphead

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// malformedHeads are heads of faulty servers that the parsers of the libraries accept, or skip as interim responses.
var malformedHeads = map[string]string{
	"status 000":                   "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
	"status 099":                   "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
	"status 600":                   "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
	"status 999":                   "HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n",
	"blank in name":                "HTTP/1.1 200 OK\r\nTest Name: a\r\nContent-Length: 0\r\n\r\n",
	"blank before colon":           "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	"tab before colon":             "HTTP/1.1 200 OK\r\nContent-Length\t: 0\r\n\r\n",
	"control byte in name":         "HTTP/1.1 200 OK\r\nTest\x01Name: a\r\nContent-Length: 0\r\n\r\n",
	"delete byte in name":          "HTTP/1.1 200 OK\r\nTest\x7f: a\r\nContent-Length: 0\r\n\r\n",
	"empty name":                   "HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 0\r\n\r\n",
	"no colon":                     "HTTP/1.1 200 OK\r\nTest\r\nContent-Length: 0\r\n\r\n",
	"folded line":                  "HTTP/1.1 200 OK\r\nTest: a\r\n Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"folded first line":            "HTTP/1.1 200 OK\r\n Test: a\r\nContent-Length: 0\r\n\r\n",
	"control byte in value":        "HTTP/1.1 200 OK\r\nTest: a\x00b\r\nContent-Length: 0\r\n\r\n",
	"chunks before they were made": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
}

// Guards against heads of faulty servers that pass for responses: a line that frames the body may be lost in them.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, text := range malformedHeads {
		response, err := readResponse(text)
		if err == nil {
			t.Errorf("%s: response with status %d and fields %v, want an error", name, response.StatusCode, response.Header)
		}
		head, _, _ := strings.Cut(text, "\r\n\r\n")
		if err := CheckResponse([]byte(head + "\r\n\r\n")); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: CheckResponse = %v, want ErrMalformed", name, err)
		}
	}
}

// Guards against sound responses that are refused.
func TestSoundHeadIsAccepted(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nTest: a b\tc \r\nEmpty:\r\nX-!#$%&'*+.^_`|~1: \xe4\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.0 599 Odd\nContent-Length: 2\n\nab",
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
	} {
		if _, err := readResponse(text); err != nil {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Guards against a check of other bytes than those of the head: the reader may hold a part of it already, and
// what follows it.
func TestRecorderSeesOnlyTheHead(t *testing.T) {
	first, second := "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "HTTP/1.1 200 OK\r\nTest Name: a\r\n\r\n"
	body := "bad : \x01\r\n\r\nab"[:12]
	recorder := NewRecorder(strings.NewReader(first + body + second))
	reader := bufio.NewReader(recorder)
	response, err := ReadResponse(reader, recorder, &http.Request{Method: "GET"})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(response.Body); string(got) != body || err != nil {
		t.Fatalf("body %q, %v; want %q", got, err, body)
	}
	if _, err := ReadResponse(reader, recorder, &http.Request{Method: "GET"}); !errors.Is(err, ErrMalformed) {
		t.Errorf("second response: %v, want ErrMalformed", err)
	}
}

func readResponse(text string) (*http.Response, error) {
	recorder := NewRecorder(strings.NewReader(text))
	return ReadResponse(bufio.NewReader(recorder), recorder, &http.Request{Method: "GET"})
}

func FuzzCheckResponse(f *testing.F) {
	for _, text := range malformedHeads {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		if CheckResponse(head) != nil {
			return
		}
		recorder := NewRecorder(strings.NewReader(string(head)))
		response, err := ReadResponse(bufio.NewReader(recorder), recorder, &http.Request{Method: "GET"})
		if err == nil && (response.StatusCode < 100 || response.StatusCode > 599) {
			t.Errorf("status %d", response.StatusCode)
		}
	})
}
