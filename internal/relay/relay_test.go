package relay

import (
	"net"
	"testing"
	"time"
)

// Guards against a relay that injects no faults: every test that uses it would
// pass without having tested any fault.
func TestModesAndFreezeDropData(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	go echoAll(server)
	r, err := Start(server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	first := dialEcho(t, r)
	if !echoes(first) {
		t.Fatal("relay in mode Pass does not forward data")
	}
	r.Freeze()
	if second := dialEcho(t, r); echoes(first) || !echoes(second) {
		t.Error("Freeze must stop the open connection and no new one")
	}
	for _, mode := range []Mode{MuteUp, MuteDown} {
		r.Set(mode)
		if echoes(dialEcho(t, r)) {
			t.Errorf("mode %d forwards data", mode)
		}
	}
	r.Set(Cut)
	if conn, err := net.Dial("tcp", r.Addr()); err == nil && echoes(conn) {
		t.Error("relay in mode Cut forwards data")
	}
	r.Set(Pass)
	if !echoes(dialEcho(t, r)) {
		t.Error("relay does not forward data after it is set back to Pass")
	}
}

func echoAll(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			buffer := make([]byte, 16)
			for {
				n, err := conn.Read(buffer)
				if err != nil {
					return
				}
				_, _ = conn.Write(buffer[:n])
			}
		}()
	}
}

func dialEcho(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func echoes(conn net.Conn) bool {
	if _, err := conn.Write([]byte("x")); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	n, _ := conn.Read(make([]byte, 1))
	return n == 1
}

// Guards against SetDelay having no effect and against a delay that remains after
// Heal.
func TestRelayDelays(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	go echoAll(server)
	r, err := Start(server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	conn := dialEcho(t, r)
	r.SetDelay(50 * time.Millisecond)
	begin := time.Now()
	if !echoes(conn) || time.Since(begin) < 100*time.Millisecond {
		t.Errorf("round trip took %v with 50 ms each way", time.Since(begin))
	}
	r.Heal()
	if begin = time.Now(); !echoes(conn) || time.Since(begin) > 50*time.Millisecond {
		t.Errorf("round trip took %v after Heal", time.Since(begin))
	}
}
