package crashes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"vanillalug.example/platform/platformtest"
)

// engineID is the environment variable that makes this program an engine with that id, and
// engineCrash the one that says how it crashes.
const (
	engineID    = "VANILLALUG_TEST_ENGINE"
	engineCrash = "VANILLALUG_TEST_CRASH"
)

// crashKind is how far an engine comes with the response to a deadly request before it is killed.
type crashKind string

const (
	// afterHead has sent the head of the response.
	afterHead crashKind = "head"
	// headLost ends before any byte of it is sent.
	headLost crashKind = "no head"
	// afterManyEvents has sent lateEvents whole events.
	afterManyEvents crashKind = "many events"
)

const (
	streamEvents = 20
	eventTime    = 25 * time.Millisecond
	lateEvents   = 14
	// lateEventTime makes these events take 560 ms.
	lateEventTime = 40 * time.Millisecond
)

// runEngine serves streams until the process that started it ends. It writes a line for its
// address and for each request that it runs to standard output.
func runEngine(id string, kind crashKind) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Println("address " + l.Addr().String())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveEngine(w, r, id, kind) })}
	_ = server.Serve(l)
}

func serveEngine(w http.ResponseWriter, r *http.Request, id string, kind crashKind) {
	if r.URL.Path == "/kv-list" {
		_, _ = io.WriteString(w, `{"epoch":1,"next_token":0,"held":[]}`)
		return
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if r.Header.Get("X-Expect-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fmt.Println("run " + r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Seal", id)
	w.Header().Set("Content-Type", "text/event-stream")
	if strings.Contains(r.Header.Get("X-Prefix-Hash"), deadlyPart+":") {
		crash(w, kind)
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= streamEvents; n++ {
		time.Sleep(eventTime)
		writeEvent(w, n)
	}
}

func writeEvent(w http.ResponseWriter, n int) {
	_, _ = io.WriteString(w, platformtest.Event(n))
	_ = http.NewResponseController(w).Flush()
}

// crash kills the process as the kernel does, so that nothing is closed properly.
func crash(w http.ResponseWriter, kind crashKind) {
	time.Sleep(eventTime)
	switch kind {
	case afterHead:
		_ = http.NewResponseController(w).Flush()
	case afterManyEvents:
		for n := 1; n <= lateEvents; n++ {
			writeEvent(w, n)
			time.Sleep(lateEventTime)
		}
	}
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// readLines calls a function for each line that an engine writes.
func readLines(out io.Reader, line func(word, rest string)) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		line(word, rest)
	}
}
