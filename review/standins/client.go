package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	host   = "site.example"
	apiKey = "key-of-tenant-a"
)

// Answer is what a client saw of one attempt.
type Answer struct {
	Status     int
	Err        error
	Sealed     bool
	Header     http.Header
	Body       string
	RetryAfter string
}

// Request is one attempt of a client.
type Request struct {
	Router, Method, Path, ID, Body string
	Deadline                       time.Duration
	Header                         map[string]string
	// OnEvent is called with each complete event of a stream.
	OnEvent func(id int, data string)
}

// Send sends an attempt on a new connection and reads the whole answer.
func Send(q Request) (a Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline+500*time.Millisecond)
	defer cancel()
	t := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	defer t.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+q.Router+q.Path, strings.NewReader(q.Body))
	must(err)
	if q.Body == "" {
		r.Body = nil
		r.ContentLength = 0
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", q.ID)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	for k, v := range q.Header {
		r.Header.Set(k, v)
	}
	w, err := t.RoundTrip(r)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = w.Body.Close() }()
	a = Answer{Status: w.StatusCode, Header: w.Header, Sealed: w.Header.Get("X-Response-Seal") != "", RetryAfter: w.Header.Get("Retry-After")}
	if q.OnEvent == nil || w.StatusCode != http.StatusOK {
		raw, err := io.ReadAll(w.Body)
		a.Body, a.Err = string(raw), err
		return a
	}
	a.Err = readEvents(w.Body, q.OnEvent)
	return a
}

func readEvents(in io.Reader, onEvent func(int, string)) error {
	b := bufio.NewReader(in)
	id, data := 0, ""
	for {
		line, err := b.ReadString('\n')
		if err == io.EOF {
			if line != "" || id != 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		switch line = strings.TrimRight(line, "\n"); {
		case line == "" && id != 0:
			onEvent(id, data)
			id, data = 0, ""
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			data = line[6:]
		}
	}
}

func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("%d %v", a.Status, a.Err)
	}
	return strconv.Itoa(a.Status)
}
