package clientconn

import (
	"slices"
	"strings"
	"testing"
)

// The framing does not depend on the sizes of the reads, and a body that resembles a header is parsed as a body.
func TestFramingIsIndependentOfReadSizes(t *testing.T) {
	unambiguousRequests := "\r\nPOST /a HTTP/1.1\r\nContent-Length: 31\r\n\r\nTransfer-Encoding: chunked\r\n\r\nx" +
		"POST /b HTTP/1.1\r\nX-Long: " + strings.Repeat("Transfer-Encoding:", 40) + "\nContent-Length: 0\n\n"
	ambiguousRequest := "POST /c HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
	for size := 1; size < len(unambiguousRequests); size++ {
		var f framing
		for part := range slices.Chunk([]byte(unambiguousRequests), size) {
			f.observe(part)
		}
		if f.ambiguous.Load() || f.hasTransferEncoding {
			t.Fatalf("reads of %d bytes: unambiguous requests reported as ambiguous", size)
		}
		for part := range slices.Chunk([]byte(ambiguousRequest), size) {
			f.observe(part)
		}
		if !f.ambiguous.Load() {
			t.Fatalf("reads of %d bytes: ambiguous request not reported", size)
		}
	}
}
