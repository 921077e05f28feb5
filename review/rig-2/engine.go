package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mimosakeel/mimosakeel/platform/standin"
)

const (
	// promptTime is the time until the first token, tokenTime that between two tokens.
	promptTime = 20 * time.Millisecond
	tokenTime  = 10 * time.Millisecond
)

// engine is a decode engine at a fixed address that can restart under a new ID, and that
// shows the faults of a case. Otherwise it is sound.
type engine struct {
	w       *world
	address string

	mu sync.Mutex
	// id names the current lifetime, which began at born and has written its entry
	// sequence times. up is unset while the engine is down.
	id       string
	born     time.Time
	sequence int
	up       bool
	listener net.Listener
	conns    map[net.Conn]bool
	runs     map[string]int
	// answers counts the answers while a fault may show, and faulty those that did.
	answers, faulty int
	faultFrom       time.Time
	// repeatLate is the number of answers 421 of which a second copy follows, late.
	repeatLate int
	// unsignedEach leaves the signature out of one in so many answers; 0 for none. begun
	// counts the answers that have begun.
	unsignedEach, begun int
}

// startEngine starts an engine and publishes its entry.
func (w *world) startEngine(id string) (*engine, error) {
	addresses, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	e := &engine{w: w, address: addresses[0], conns: map[net.Conn]bool{}, runs: map[string]int{}}
	w.closers = append(w.closers, e.crash)
	if err := e.start(id); err != nil {
		return nil, err
	}
	w.beat(e.publish)
	return e, nil
}

// publish writes the entry of the current lifetime, if the engine is up.
func (e *engine) publish() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return nil
	}
	e.sequence++
	return e.w.publish(e.id, e.address, e.born, e.sequence)
}

// start begins a lifetime of the engine.
func (e *engine) start(id string) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.id, e.listener, e.born, e.sequence, e.up = id, listener, time.Now(), 0, true
	e.mu.Unlock()
	go e.accept(listener)
	e.w.note("engine %s starts", id)
	return e.publish()
}

// crash ends the lifetime: the address refuses connections, and open ones are closed.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = false
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
	clear(e.conns)
}

func (e *engine) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

// serve answers the requests of a connection one after the other.
func (e *engine) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	extra := "" // The copy of an answer that follows late.
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(e.w.names.Request)
		answer := ""
		switch expected := r.Header.Get(e.w.names.Expect); {
		case expected != "" && expected != e.name():
			// As the platform's page of examples shows it.
			answer = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", e.w.names.Instance, e.name())
			e.countAnswer()
			e.w.note("request %s for %s gets 421 from %s", id, expected, e.name())
			if e.takeRepeat() {
				extra = answer
			}
		case r.URL.Path == e.w.names.Report:
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(e.w.names.ReportBody), e.w.names.ReportBody)
		case r.URL.Path == e.w.names.Order:
			answer = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
		default:
			if !e.run(conn, r, id, extra) {
				return
			}
			extra = ""
			continue
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// run runs a request and streams its answer, which follows the late copy of an earlier
// one, if any. It reports whether the connection can be used again.
func (e *engine) run(conn net.Conn, r *http.Request, id, extra string) bool {
	_, output, _ := strings.Cut(r.Header.Get(e.w.names.Tokens), ",")
	events, _ := strconv.Atoi(output) // 0 if absent.
	time.Sleep(promptTime)
	name := e.name()
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	signed := e.signs()
	e.w.note("engine %s runs %s", name, id)
	if extra != "" {
		e.w.note("engine %s sends the second copy of its 421, and then its answer to %s", name, id)
	}
	head := extra + "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + e.w.names.Request + ": " + id + "\r\n"
	if signed {
		head += e.w.names.Signature + ": " + name + "." + id + "\r\n"
	} else {
		e.w.note("engine %s answers %s without its signature", name, id)
	}
	text := head + "\r\n"
	for n := 1; n <= events; n++ {
		event := standin.EventText(id, n)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if n == events {
			text += "0\r\n\r\n"
		}
		if _, err := io.WriteString(conn, text); err != nil {
			e.w.note("engine %s stops %s after %d of %d tokens: its connection is closed", name, id, n-1, events)
			return false
		}
		text = ""
		time.Sleep(tokenTime)
	}
	e.countAnswer()
	return true
}

func (e *engine) name() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

func (e *engine) runsOf(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

func (e *engine) countAnswer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.faultFrom) <= faultTime {
		e.answers++
	}
}

// faultTime is the longest time for which servers hand out wrong bytes.
const faultTime = 5 * time.Second

// beginFault lets the next answers show a fault.
func (e *engine) beginFault(repeatLate, unsignedEach int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultFrom = time.Now()
	e.repeatLate, e.unsignedEach = repeatLate, unsignedEach
}

// maxFaultyShare is the largest share of spoilt answers in the platform's site files.
const maxFaultyShare = 0.03

// checkShare fails if the engine has spoilt more answers than the pages allow.
func (e *engine) checkShare() error {
	e.mu.Lock()
	answers, faulty := e.answers, e.faulty
	e.mu.Unlock()
	e.w.note("%d of %d answers of the engine were faulty while it may spoil some", faulty, answers)
	if float64(faulty) > maxFaultyShare*float64(answers) {
		return fmt.Errorf("%d of %d answers were faulty, more than the pages allow", faulty, answers)
	}
	return nil
}

func (e *engine) takeRepeat() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.repeatLate == 0 || time.Since(e.faultFrom) > faultTime {
		return false
	}
	e.repeatLate--
	e.faulty++
	return true
}

func (e *engine) signs() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begun++
	if e.unsignedEach == 0 || time.Since(e.faultFrom) > faultTime || e.begun%e.unsignedEach != 0 {
		return true
	}
	e.faulty++
	return false
}
