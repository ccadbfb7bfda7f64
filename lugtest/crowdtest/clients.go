package crowdtest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	maxBody = platformtest.BodyLimit
	// sendTimeout bounds how long a client waits for the router to read; then it stays as it is.
	sendTimeout = 4 * time.Second
	pieceBytes  = 64 << 10
	smallPiece  = 1 << 10
	dripTime    = 20 * time.Millisecond
	// receiveBuffer is the receive buffer of a client that doesn't read, in bytes.
	receiveBuffer = 4 << 10
)

var filler = strings.Repeat("x", maxBody)

// Kind is what one client of a crowd sends. head is the request line and the headers, without
// those on the body and without the empty line. After it has returned, the connection stays open.
type Kind func(c net.Conn, head string)

// Kinds are the misbehaving clients that docs/HARD-LOAD.md names. Errors of writes are ignored: the
// router may refuse such a client.
var Kinds = map[string]Kind{
	"one byte short": func(c net.Conn, head string) {
		send(c, head+length(maxBody), filler[1:], pieceBytes)
	},
	"one byte short in small pieces": func(c net.Conn, head string) {
		send(c, head+length(maxBody), filler[1:], smallPiece)
	},
	"last chunk short": func(c net.Conn, head string) {
		const chunk = maxBody / 8
		body := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, filler[:chunk]), 7) + fmt.Sprintf("%x\r\n%s", chunk, filler[1:chunk])
		send(c, head+chunked, body, pieceBytes)
	},
	"chunk far over the limit": func(c net.Conn, head string) {
		send(c, head+chunked, fmt.Sprintf("%x\r\n", 16*maxBody)+strings.Repeat(filler, 15), pieceBytes)
	},
	"length far over the limit": func(c net.Conn, head string) {
		send(c, head+length(16*maxBody), strings.Repeat(filler, 15), pieceBytes)
	},
	"chunks of a byte": func(c net.Conn, head string) {
		send(c, head+chunked, strings.Repeat("1\r\nx\r\n", 300_000), pieceBytes)
	},
	"many short fields": func(c net.Conn, head string) {
		send(c, head+shortFields()+length(maxBody), "half", pieceBytes)
	},
	"many short fields without end": func(c net.Conn, head string) { send(c, head, shortFields(), pieceBytes) },
	"short body that stops":         func(c net.Conn, head string) { send(c, head+length(shortBody), "half", pieceBytes) },
	"pipelined and not read": func(c net.Conn, head string) {
		_ = c.(*net.TCPConn).SetReadBuffer(receiveBuffer)
		send(c, strings.Repeat(head+length(0), 3000), "", pieceBytes)
	},
	"response not read": func(c net.Conn, head string) {
		_ = c.(*net.TCPConn).SetReadBuffer(receiveBuffer)
		send(c, head+length(maxBody), filler, pieceBytes)
	},
	"slow body": func(c net.Conn, head string) {
		send(c, head+length(maxBody), filler[:maxBody/2], pieceBytes)
		for range sendTimeout / dripTime {
			send(c, "", "x", 1)
			time.Sleep(dripTime)
		}
	},
	"half a head": func(c net.Conn, head string) { send(c, head, "", pieceBytes) },
	"silent":      func(net.Conn, string) {},
}

// shortBody is the length of a body that net/http still reads after the handler has returned, in
// bytes.
const shortBody = 100 << 10

// shortFields returns header fields that are legal in size, and need much more memory than that.
func shortFields() string {
	var fields strings.Builder
	for i := range 1200 {
		fmt.Fprintf(&fields, "x%d: y\r\n", i)
	}
	return fields.String()
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

// send writes the head, and the body in pieces, until the router doesn't read for sendTimeout.
func send(c net.Conn, head, body string, piece int) {
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	for len(body) > 0 {
		n := min(piece, len(body))
		if _, err := io.WriteString(c, body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
}
