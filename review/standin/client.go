package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	status    int // 0: no complete answer
	signature string
	body      string
}

// call sends one request on a new connection to a machine's outbound address and returns the
// answer.
func call(record *record, to *machine, method, target, id string, body []byte, deadline time.Duration) answer {
	record.line("client sends %s %s %s, body %d bytes, to %s", id, method, target, len(body), to.name)
	got, err := exchange(to, method, target, id, body, deadline)
	if err != nil {
		record.line("client gets no complete answer for %s: %v", id, err)
		return answer{}
	}
	record.line("client gets %d for %s, signature %q, body %q", got.status, id, got.signature, got.body)
	return got
}

func exchange(to *machine, method, target, id string, body []byte, deadline time.Duration) (answer, error) {
	conn, err := net.DialTimeout("tcp", to.outbound(), time.Second)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Sliphead-Deadline-Ms: %d\r\n", method, target, host, requestIDHeader, id, deadline.Milliseconds())
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return answer{}, err
	}
	go sendPaced(conn, body) // the answer may come before the whole body has been sent
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	const shown = 60
	return answer{response.StatusCode, response.Header.Get("X-Sliphead-Response-Signature"), string(text[:min(len(text), shown)])}, nil
}

// sendPaced sends a body at about half the rate of a link of 1,000 Mbit/s.
func sendPaced(conn net.Conn, body []byte) {
	const perMillisecond = 64 << 10
	for len(body) > 0 {
		count := min(len(body), perMillisecond)
		if _, err := conn.Write(body[:count]); err != nil {
			return
		}
		body = body[count:]
		time.Sleep(time.Millisecond)
	}
}
