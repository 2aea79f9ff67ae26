// This file calls other hubs over HTTP.

package hub

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"martenbeam/internal/fleet/member"
)

// callHub sends a request to another hub and decodes its JSON answer into answer, all within hubCallTimeout. It does not look
// at the status: an error has no JSON body and fails to decode.
func (s *Server) callHub(ctx context.Context, hub member.Member, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+hub.Addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DialContext: s.fleet.Dial, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(io.LimitReader(resp.Body, maxReportSize)).Decode(answer)
}
