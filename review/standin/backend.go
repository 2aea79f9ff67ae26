package main

// A dispatch node: a process of its own that speaks the protocol page's HTTP/1.1.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// backendConfig describes a backend. It is passed to the backend's process as JSON.
type backendConfig struct {
	Name        string
	Service     time.Duration // mean time that a request takes
	RepeatEvery int64         // every nth answer is sent a second time; 0: none
	RepeatAfter time.Duration // from an answer to its repetition
}

// backendMain serves requests until it is killed, or returns why it can't. It prints the address on which it listens, and a
// line for each request that it runs.
func backendMain(configJSON string) error {
	var config backendConfig
	if err := json.Unmarshal([]byte(configJSON), &config); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	out := &lineWriter{}
	out.printf("LISTEN %s", listener.Addr())
	var answers atomic.Int64
	spoils := func() bool { return config.RepeatEvery > 0 && answers.Add(1)%config.RepeatEvery == 0 }
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go serveBackendConn(conn, config, spoils, out)
	}
}

// serveBackendConn answers the requests of one connection, one at a time.
func serveBackendConn(conn net.Conn, config backendConfig, spoils func() bool, out *lineWriter) {
	defer conn.Close()
	var writing sync.Mutex
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		size, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Trace-Id")
		if request.URL.Path == "/ping" || request.URL.Path == "/_load" {
			body := `{"inflight":1,"util":0.3,"latency_ms":20}`
			writing.Lock()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			writing.Unlock()
			continue
		}
		out.printf("RUN %s %s %d", id, request.URL.Path, size)
		time.Sleep(time.Duration(float64(config.Service) * math.Exp(0.4*rand.NormFloat64()-0.08))) // lognormal
		body := fmt.Sprintf("answer-to=%s from=%s\n", id, config.Name)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		writing.Lock()
		_, err = io.WriteString(conn, answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if spoils() {
			out.printf("REPEAT %s", id)
			time.AfterFunc(config.RepeatAfter, func() {
				writing.Lock()
				defer writing.Unlock()
				_, _ = io.WriteString(conn, answer) // fails if the agent has closed the connection
			})
		}
	}
}

// lineWriter writes whole lines to standard output, from any goroutine.
type lineWriter struct{ mu sync.Mutex }

func (w *lineWriter) printf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(os.Stdout, format+"\n", args...)
}
