package main

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// link is the way of one router to one worker, which can be cut.
type link struct {
	address, to string

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]net.Conn
}

func newLink(to string) *link {
	k := &link{address: freeAddress(), to: to, open: map[net.Conn]net.Conn{}}
	k.listen()
	return k
}

func (k *link) listen() {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp4", k.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	must(err)
	k.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
}

func (k *link) serve(c net.Conn) {
	d, err := net.Dial("tcp4", k.to)
	if err != nil {
		reset(c)
		return
	}
	k.mu.Lock()
	k.open[c] = d
	k.mu.Unlock()
	pass := func(from, to net.Conn) {
		if _, err := io.Copy(to, from); err != nil {
			reset(to)
		}
		_ = to.Close()
		_ = from.Close()
	}
	go pass(c, d)
	pass(d, c)
	k.mu.Lock()
	delete(k.open, c)
	k.mu.Unlock()
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// cut resets the open connections and refuses new ones.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.listener.Close()
	for c, d := range k.open {
		reset(c)
		reset(d)
	}
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listen()
}

// view is the store as one router sees it: the addresses of the workers are those of its own links.
// It leaves out Store-Era, so that a router that starts doesn't take the registry of another one, with
// that one's links.
type view struct {
	address string
	links   map[string]*link
}

func newView(s *Store, workers []*Worker) *view {
	v := &view{links: map[string]*link{}}
	for _, w := range workers {
		v.links[w.address] = newLink(w.address)
	}
	l, err := net.Listen("tcp4", freeAddress())
	must(err)
	v.address = l.Addr().String()
	u, err := url.Parse("http://" + s.address)
	must(err)
	p := httputil.NewSingleHostReverseProxy(u)
	p.ErrorLog = log.New(io.Discard, "", 0)
	p.ModifyResponse = v.rewrite
	go func() { _ = http.Serve(l, p) }()
	return v
}

func (v *view) rewrite(r *http.Response) error {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	var all map[string]any
	var body struct{ Rows []row }
	if json.Unmarshal(raw, &all) == nil && json.Unmarshal(raw, &body) == nil && len(body.Rows) > 0 {
		for i, x := range body.Rows {
			text := string(x.Value)
			for address, k := range v.links {
				text = strings.ReplaceAll(text, `"`+address+`"`, `"`+k.address+`"`)
			}
			body.Rows[i].Value = []byte(text)
		}
		all["rows"] = body.Rows
		raw, err = json.Marshal(all)
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	r.ContentLength = int64(len(raw))
	r.Header.Set("Content-Length", strconv.Itoa(len(raw)))
	r.Header.Del("Store-Era")
	return err
}

func (v *view) cut() {
	for _, k := range v.links {
		k.cut()
	}
}

func (v *view) heal() {
	for _, k := range v.links {
		k.heal()
	}
}
