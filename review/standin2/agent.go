package main

// The agent's process, its configuration, and requests to it.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// zones are the zones of the deployment.
var zones = []string{"riga-ziepniekkalns", "riga-purvciems", "marupe"}

// settings returns the settings of a small deployment: one agent, the classes, tenants and rules of the site's pages.
func settings() map[string]any {
	return map[string]any{
		"Balancers": 1, "Me": 0, "Zone": 0, "Dcs": zones, "Kinds": []string{"fast-4core", "std-4core"},
		"Clients": map[string]any{"MarksRetry": true}, "CountedBy": "request", "FamilyInfo": map[string]any{"WarmKeys": true},
		"Contract": map[string]any{"AskWithinMs": 10000.0, "ColdFrom": 0.12, "DrainGraceMs": 500.0, "FallMs": 2000.0,
			"FallMultiple": 3.0, "GraceToAnswerMs": 20.0, "RampTimeMs": 24000.0},
		"Goal":          map[string]any{"Whole": 0.5, "WorstClass": 0.1, "WorstTenant": 0.1, "WorstWindow": 0.3},
		"KindOfService": "mesh", "MembershipMode": "automatic", "OverShareWorth": 0.2,
		"PolicyLimits": map[string]any{"Cancel": true, "ConnectTimeoutMs": 250.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 9982,
			"IdleCloseMs": 30000.0, "MaxOpen": 24956, "MaxRetryAfterMs": 2000.0, "MayProbe": true, "Peers": false, "RetryAfter": true,
			"SecondCopies": true, "StreamsPerConn": 1, "TryLimit": 5},
		"Prices": map[string]any{"Connection": 0.023, "CrossZone": 0.03, "Handshake": 0.0, "LateFail": 0.08, "Peer": 0.0073,
			"Probe": 0.004, "Waste": 0.04},
		"Profiles": []map[string]any{
			{"AimMs": 600.0, "DeadlineMs": 2000.0, "Group": "cell", "LateValue": 0.0, "Name": "stop-update", "Semantics": "by_key",
				"Stream": false, "WindowMs": 10000.0, "Worth": 5.0},
			{"AimMs": 800.0, "DeadlineMs": 3000.0, "Group": "all", "LateValue": 0.0, "Name": "route-assign", "Semantics": "once",
				"Stream": false, "WindowMs": 5000.0, "Worth": 8.0}},
		"Report": map[string]any{"Fields": []string{"outstanding", "utilization", "recent_ms"}, "Source": "on_probe"},
		"Tenants": []map[string]any{{"Name": "state-post", "Portion": 0.52, "QuotaPerS": 181.0},
			{"Name": "city-couriers", "Portion": 0.48, "QuotaPerS": 167.0}},
		"TickMs": 5.0, "Tier": 0, "Tiers": []string{"dispatch-servers"}, "Weights": "rough",
	}
}

// agent is one agent of the platform.
type agent struct {
	*process
	addr string
}

// startAgent starts an agent by the deploy file's command, and waits until it is healthy.
func (r *run) startAgent(discovery string, known []entry) (*agent, error) {
	addr, err := freeAddr(0)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 768}, "peers": []string{},
		"known": list{1, true, known}, "settings": settings()})
	if err != nil {
		return nil, err
	}
	config, scratch := filepath.Join(r.dir, "config.json"), filepath.Join(r.dir, "tmp")
	if err := errors.Join(os.WriteFile(config, text, 0o600), os.MkdirAll(scratch, 0o700)); err != nil {
		return nil, err
	}
	command, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	p, err := r.start("agent", command, []string{"PROXY_NAME=n0", "PROXY_LISTEN=" + addr, "PROXY_DISCOVERY=" + discovery,
		"PROXY_CONFIG=" + config, "TMPDIR=" + scratch})
	if err != nil {
		return nil, err
	}
	return &agent{p, addr}, awaitHealthy(p, addr)
}

// awaitHealthy waits until GET /_health returns 200.
func awaitHealthy(p *process, addr string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.ended() {
			return errors.New("the agent has ended before it was healthy")
		}
		if resp, err := client.Get("http://" + addr + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("the agent is not healthy after 20 s")
}

// requestText returns a request of the application.
func requestText(class, tenant, id, key, body string, timeout time.Duration) string {
	var s strings.Builder
	fmt.Fprintf(&s, "POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Customer: %s\r\nCookie: sid=%s\r\nX-Expires-In: %.3f\r\n",
		class, id, tenant, key, timeout.Seconds())
	if class == "stop-update" {
		fmt.Fprintf(&s, "Idempotency-Key: key%s\r\n", id)
	}
	fmt.Fprintf(&s, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return s.String()
}

// client is one connection of the application.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection of the application to an agent.
func dial(addr string) (*client, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// readAnswer reads one answer.
func (c *client) readAnswer(timeout time.Duration) (status int, body string, closes bool, err error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, "", true, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", true, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), resp.Close, err
}
