// Package wiretest has servers that respond byte by byte, and what servers in trouble sent in place of a
// response.
package wiretest

// Malformed returns raw responses by name that are none; fields are header lines that each has.
func Malformed(fields string) map[string]string {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	return map[string]string{
		"status 000":                  "HTTP/1.1 000 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"status 099":                  "HTTP/1.1 099 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"status 600":                  "HTTP/1.1 600 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"status 999":                  "HTTP/1.1 999 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"status of two digits":        "HTTP/1.1 20 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"protocol switched":           "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\nok",
		"blank in a name":             ok + "Odd Name: x\r\nContent-Length: 2\r\n\r\nok",
		"blank before the colon":      ok + "Content-Length : 4\r\n\r\nshort and more",
		"blank before that of chunks": ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"control byte in a name":      ok + "Odd\x01Name: x\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a value":     ok + "Odd: a\x01b\r\nContent-Length: 2\r\n\r\nok",
		"zero byte in a value":        ok + "Odd: a\x00b\r\nContent-Length: 2\r\n\r\nok",
		"no colon":                    ok + "Odd\r\nContent-Length: 2\r\n\r\nok",
		"no name":                     ok + ": x\r\nContent-Length: 2\r\n\r\nok",
		"folded line":                 ok + "Odd: a\r\n b\r\nContent-Length: 2\r\n\r\nok",
		"two lengths":                 ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
		"a length twice":              ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"length with a sign":          ok + "Content-Length: +2\r\n\r\nok",
		"length beside chunks":        ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"malformed interim response":  "HTTP/1.1 103 Early Hints\r\nOdd Name: x\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
		"head ends in the status":     "HTTP/1.1 200 O",
		"head ends after the status":  "HTTP/1.1 200 OK\r\n",
		"head ends in a field":        ok + "Content-Le",
		"head ends after a field":     ok + "Content-Length: 0\r\n",
		"body ends early":             ok + "Content-Length: 20\r\n\r\nok",
		"chunk ends early":            ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nok",
		"no last chunk":               ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"malformed trailer":           ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nOdd Name\r\n\r\n",
	}
}
