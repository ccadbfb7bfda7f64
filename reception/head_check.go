package reception

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus bound the status of a response.
	minStatus = 100
	maxStatus = 599
	// maxInterimHeads is the number of interim responses before the final one.
	maxInterimHeads = 4
	// maxHeadLine bounds a line of a head, in bytes.
	maxHeadLine = 64 << 10
)

// MalformedHeadError is returned for the head of a response that doesn't keep to HTTP, so that it is
// none: what follows it can't be told to be its body.
type MalformedHeadError struct{ reason string }

// Error implements error.
func (e *MalformedHeadError) Error() string { return "malformed head of a response: " + e.reason }

// HeadCheck checks the bytes of a response's head, and of the interim ones before it, as they arrive:
// net/http accepts lines that other programs read in another way. The zero value is ready for a response.
type HeadCheck struct {
	line    []byte
	status  int
	interim int
	lengths int
	chunked int
	done    bool
}

// Feed checks the next bytes; what comes after the head is ignored. It returns a *MalformedHeadError.
func (h *HeadCheck) Feed(p []byte) error {
	for len(p) > 0 && !h.done {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			end = len(p) - 1
		}
		h.line = append(h.line, p[:end+1]...)
		p = p[end+1:]
		if len(h.line) > maxHeadLine {
			return &MalformedHeadError{reason: "a line is too long"}
		}
		if !bytes.HasSuffix(h.line, []byte{'\n'}) {
			return nil
		}
		line := string(bytes.TrimSuffix(h.line[:len(h.line)-1], []byte{'\r'}))
		h.line = h.line[:0]
		if err := h.checkLine(line); err != nil {
			return err
		}
	}
	return nil
}

func (h *HeadCheck) checkLine(line string) error {
	switch {
	case h.status == 0:
		return h.checkStatusLine(line)
	case line == "":
		return h.endHead()
	}
	name, value, found := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return &MalformedHeadError{reason: fmt.Sprintf("field %q", truncate(line))}
	}
	switch http.CanonicalHeaderKey(name) {
	case "Content-Length":
		h.lengths++
	case "Transfer-Encoding":
		h.chunked++
	}
	if h.lengths > 1 || h.chunked > 1 || h.lengths > 0 && h.chunked > 0 {
		return &MalformedHeadError{reason: "more than one length"}
	}
	return nil
}

// checkStatusLine checks a line such as "HTTP/1.1 200 OK".
func (h *HeadCheck) checkStatusLine(line string) error {
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status := 0
	for _, c := range code {
		if c < '0' || c > '9' {
			return &MalformedHeadError{reason: fmt.Sprintf("status line %q", truncate(line))}
		}
		status = min(status*10+int(c-'0'), maxStatus+1)
	}
	if !strings.HasPrefix(proto, "HTTP/1.") || len(code) != 3 || !validStatus(status) {
		return &MalformedHeadError{reason: fmt.Sprintf("status line %q", truncate(line))}
	}
	h.status = status
	return nil
}

// endHead ends a head; after an interim one, another follows.
func (h *HeadCheck) endHead() error {
	if h.status >= http.StatusOK {
		h.done = true
		return nil
	}
	if h.interim++; h.interim > maxInterimHeads {
		return &MalformedHeadError{reason: "too many interim responses"}
	}
	h.status, h.lengths, h.chunked = 0, 0, 0
	return nil
}

// validStatus reports whether a status is one of a response to a request that asks for no upgrade.
func validStatus(status int) bool {
	return status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// checkResponse checks a head that was parsed: what a HeadCheck checks, as far as it can be told then.
func checkResponse(w *http.Response) error {
	if !validStatus(w.StatusCode) {
		return &MalformedHeadError{reason: fmt.Sprintf("status %d", w.StatusCode)}
	}
	for name, values := range w.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedHeadError{reason: fmt.Sprintf("field %q", truncate(name))}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return &MalformedHeadError{reason: fmt.Sprintf("value of field %q", truncate(name))}
			}
		}
	}
	return nil
}

// maxQuoted bounds what an error quotes of a head, in bytes.
const maxQuoted = 80

func truncate(s string) string { return s[:min(len(s), maxQuoted)] }
