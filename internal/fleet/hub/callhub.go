package hub

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"martenbeam/internal/fleet/member"
)

// callHub calls another hub.
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
