package clientconn

import (
	"slices"
	"strings"
	"testing"
)

// Headers may be read in pieces of any size, and a body that looks like a header is a body.
func TestFramingIsIndependentOfReadSizes(t *testing.T) {
	plain := "\r\nPOST /a HTTP/1.1\r\nContent-Length: 31\r\n\r\nTransfer-Encoding: chunked\r\n\r\nx" +
		"POST /b HTTP/1.1\r\nX-Long: " + strings.Repeat("Transfer-Encoding:", 40) + "\nContent-Length: 0\n\n"
	both := "POST /c HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
	for size := 1; size < len(plain); size++ {
		var c framing
		for part := range slices.Chunk([]byte(plain), size) {
			c.observe(part)
		}
		if c.ambiguous.Load() || c.hasTransferEncoding {
			t.Fatalf("in pieces of %d: taken for ambiguous", size)
		}
		for part := range slices.Chunk([]byte(both), size) {
			c.observe(part)
		}
		if !c.ambiguous.Load() {
			t.Fatalf("in pieces of %d: not taken for ambiguous", size)
		}
	}
}
