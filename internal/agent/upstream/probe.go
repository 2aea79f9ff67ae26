package upstream

// This file makes health checks and parses the load reports of health checks and responses.

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/wire"
)

// Probe makes a health check. Its result holds a load report if Config.LoadProbed is set.
func (p *Pool) Probe(id string) balancer.ProbeResult {
	start := time.Now()
	request := &Request{Method: http.MethodGet, URL: &url.URL{Path: "/ping"}, Header: http.Header{}}
	if p.cfg.LoadProbed {
		request.URL.Path = "/_load"
	}
	// The settings have no timeout for health checks, so the connect timeout bounds the complete check.
	ctx, cancel := context.WithTimeoutCause(context.Background(), p.cfg.ConnectTimeout, ErrTimedOut)
	defer cancel()
	result, resp, load := p.executeBuffered(ctx, nil, id, request)
	if resp != nil && p.cfg.LoadProbed {
		load = parseLoad(string(resp.Body))
	}
	return balancer.ProbeResult{Backend: id, Result: result, Latency: time.Since(start), Load: load}
}

// loadNames maps the names of load values on the wire to the names in the settings.
var loadNames = map[string]string{"queue": "backlog", "eps": "errors_per_s", "latency_ms": "recent_ms"}

// parseLoad parses a load report such as "TEXT inflight=7, queue=2". Values that are not
// numbers are left out.
func parseLoad(text string) balancer.Load {
	values := map[string]float64{}
	text = strings.TrimSpace(text)
	text = strings.TrimPrefix(strings.TrimPrefix(text, "Endpoint-Load-Metrics:"), " ")
	for _, pair := range strings.Split(strings.TrimPrefix(text, "TEXT "), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			if settingName, ok := loadNames[name]; ok {
				name = settingName
			}
			values[name] = v
		}
	}
	return wire.ParseLoad(values)
}
