// This file sends requests to other hubs over HTTP.

package hub

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"martenbeam/internal/fleet/member"
)

const (
	hubCallTimeout = time.Second
	maxMessageSize = 1 << 20 // bytes of a message between hubs
)

// callHub sends a request to another hub and decodes the JSON response into result, both within hubCallTimeout. It does
// not check the status code: an error response has no JSON body, so decoding fails.
func (s *Server) callHub(ctx context.Context, hub member.Member, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, hubCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+hub.Addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("call hub %s: %w", hub.Name, err)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: s.fleet.Dial, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("call hub %s: %w", hub.Name, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxMessageSize)).Decode(result); err != nil {
		return fmt.Errorf("decode response of hub %s: %w", hub.Name, err)
	}
	return nil
}
