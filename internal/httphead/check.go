package httphead

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the cause of all errors of CheckResponse.
var ErrMalformed = errors.New("httphead: malformed response head")

const (
	// statusStart is the position of the status in a status line: after "HTTP/1.1 ".
	statusStart = len("HTTP/1.1 ")
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// shownBytes bounds the part of a faulty line that an error shows, bytes.
	shownBytes = 80
)

// CheckResponse returns an error if the head of a response, as it was received, is malformed. Lines may end
// with a bare line feed.
func CheckResponse(head []byte) error {
	line, fields := cutLine(head)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	oldVersion := strings.HasPrefix(line, "HTTP/1.0")
	for len(fields) > 0 {
		line, fields = cutLine(fields)
		if line == "" {
			return nil
		}
		name, err := checkField(line)
		if err != nil {
			return err
		}
		if oldVersion && strings.EqualFold(name, "Transfer-Encoding") {
			return errors.Wrap(ErrMalformed, "Transfer-Encoding in a response of HTTP/1.0")
		}
	}
	return errors.Wrap(ErrMalformed, "the head ends early")
}

// cutLine returns the first line without its end, and what follows it.
func cutLine(head []byte) (line string, rest []byte) {
	before, rest, _ := bytes.Cut(head, []byte("\n"))
	return string(bytes.TrimSuffix(before, []byte("\r"))), rest
}

func checkStatusLine(line string) error {
	if !strings.HasPrefix(line, "HTTP/1.") || len(line) < statusStart+statusDigits || line[statusStart-1] != ' ' {
		return errors.Wrapf(ErrMalformed, "status line %.*q", shownBytes, line)
	}
	status, reason := line[statusStart:statusStart+statusDigits], line[statusStart+statusDigits:]
	for _, digit := range status {
		if digit < '0' || digit > '9' {
			return errors.Wrapf(ErrMalformed, "status %q", status)
		}
	}
	if status[0] < '1' || status[0] > '5' || reason != "" && reason[0] != ' ' {
		return errors.Wrapf(ErrMalformed, "status line %.*q", shownBytes, line)
	}
	return nil
}

// checkField checks a line of the header section, and returns the field's name.
func checkField(line string) (name string, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return "", errors.Wrapf(ErrMalformed, "folded line %.*q", shownBytes, line)
	}
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return "", errors.Wrapf(ErrMalformed, "field name in line %.*q", shownBytes, line)
	}
	if !httpguts.ValidHeaderFieldValue(strings.Trim(value, " \t")) {
		return "", errors.Wrapf(ErrMalformed, "value of field %s", name)
	}
	return name, nil
}
