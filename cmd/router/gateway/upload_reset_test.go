package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// TestUploadIsAnsweredByReset guards against a part of a body passing for a whole one, as the target
// reset the connection while the upload was being written: the writer takes the error of the
// connection, and the reader sees a plain end.
func TestUploadIsAnsweredByReset(t *testing.T) {
	const attempts = 12
	f := newPartitionTestFleet(t, 3)
	f.cut(resetting, 1)
	f.waitRelaying(t, "/once/x", plainService, 1)
	for _, target := range f.targets {
		target.SetRaw(&platformtest.RawResponse{Text: "HTTP/1.1 200 OK\r\n" + fields + "\r\na part of a body", LeaveBody: true})
	}
	upload := bytes.Repeat([]byte("x"), 3<<20)
	for i, router := range f.routers[:2] {
		for n := range attempts {
			id := fmt.Sprintf("upload%d-%d", i, n)
			w := router.send(http.MethodPost, "/once/"+id, id, bytes.NewReader(upload))
			require.False(t, w.err == nil && w.status == http.StatusOK, "router %d, attempt %d: %q", i, n, w.body)
		}
	}
}
