package upstream

// Health checks, and the load reports that come with them or with responses.

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

// Probe checks a backend's health, with a load report if the site's health checks carry one.
func (p *Pool) Probe(id string) balancer.ProbeResult {
	start := time.Now()
	request := &Request{Method: http.MethodGet, URL: &url.URL{Path: "/ping"}, Header: http.Header{}}
	if p.cfg.LoadProbed {
		request.URL.Path = "/_load"
	}
	// The settings have no timeout for health checks; one that takes longer than a connect may take is of no use.
	ctx, cancel := context.WithTimeoutCause(context.Background(), p.cfg.ConnectTimeout, ErrTimedOut)
	defer cancel()
	result, resp, load := p.executeBuffered(ctx, nil, id, request)
	if resp != nil && p.cfg.LoadProbed {
		load = parseLoad(string(resp.Body))
	}
	return balancer.ProbeResult{Backend: id, Result: result, Latency: time.Since(start), Load: load}
}

// loadNames maps the names of load values on the wire to those of the settings.
var loadNames = map[string]string{"queue": "backlog", "eps": "errors_per_s", "latency_ms": "recent_ms"}

// parseLoad parses a load report such as "TEXT inflight=7, queue=2". Values that it can't parse are left out.
func parseLoad(text string) balancer.Load {
	usage := map[string]float64{}
	text = strings.TrimSpace(text)
	text = strings.TrimPrefix(strings.TrimPrefix(text, "Endpoint-Load-Metrics:"), " ")
	for _, pair := range strings.Split(strings.TrimPrefix(text, "TEXT "), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			if settingName, ok := loadNames[name]; ok {
				name = settingName
			}
			usage[name] = v
		}
	}
	return wire.ParseLoad(usage)
}
