package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// headBytes is the size of a large request head that is still within
// --relay.header-bytes.
const headBytes = 60_000

// shortLines returns a request head of n bytes, all of whose header lines are short.
func shortLines(start string, n int) string {
	var b strings.Builder
	b.WriteString(start)
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%04x:\r\n", i)
	}
	return b.String()
}

// oddLines returns a request head of n bytes whose lines repeat a name of one
// character and end without a carriage return.
func oddLines(start string, n int) string { return start + strings.Repeat("a:\n", (n-len(start))/3) }

// Starts of requests for the service auftrag.
const (
	getStart  = "GET /templates HTTP/1.1\r\nHost: a\r\nMw-Service: auftrag\r\n"
	postStart = "POST /templates HTTP/1.1\r\nHost: a\r\nMw-Service: auftrag\r\n"
)

// text returns a payload that writes s.
func text(s string) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, s)
		return err
	}
}

// roundTrip sends a request on conn and returns the status of its answer, or 0 if
// there is none or the connection is closed after it.
func roundTrip(conn net.Conn, payload func(io.Writer) error) int {
	sent := make(chan error, 1)
	go func() { sent <- payload(conn) }()
	conn.SetDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		conn.Close()
		<-sent
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.Close || err != nil {
		conn.Close()
		<-sent
		return 0
	}
	<-sent
	return resp.StatusCode
}
