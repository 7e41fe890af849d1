package latency

import (
	"context"
	"io"
	"net"
	"os/exec"
	"time"

	"sliphead/internal/fault"
)

// Relay forwards connections to the address to, host:port, until the context ends.
// Two relays in series have the minimum cost of two hops on a machine, and so are
// the baseline for the latency that the nodes add.
func Relay(ctx context.Context, listener net.Listener, to string) error {
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	for {
		client, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Internal, "stop other programs that hold many open files", "accept on %s", listener.Addr())
		}
		go forward(client, to)
	}
}

func forward(client net.Conn, to string) {
	defer client.Close()
	server, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(server, client)
		_ = server.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(client, server)
}

// startRelays starts two relays in series in front of the worker, and waits until
// the first one listens. They are processes that exit when this process does.
func (r *runner) startRelays(program string) error {
	host, _, _ := net.SplitHostPort(r.meshes[Direct].Workers[0].Address)
	last := net.JoinHostPort(host, "8101")
	first := net.JoinHostPort(host, "8102")
	for _, each := range [][2]string{{last, r.meshes[Direct].Workers[0].Address}, {first, last}} {
		command := exec.Command(program, "relay", "--listen", each[0], "--to", each[1])
		input, err := command.StdinPipe() // the relay exits when it is closed
		if err == nil {
			err = command.Start()
		}
		if err != nil {
			return fault.Wrap(err, fault.Settings, "run the program by its path", "start a relay")
		}
		r.relayStops = append(r.relayStops, func() {
			_ = input.Close()
			_ = command.Wait()
		})
	}
	r.relayAddress = first
	return waitListening(first)
}

func waitListening(address string) error {
	const attempts, pause = 100, 50 * time.Millisecond
	for range attempts {
		if conn, err := net.Dial("tcp", address); err == nil {
			return conn.Close()
		}
		time.Sleep(pause)
	}
	return fault.New(fault.Unready, "free the address", "no relay listens on %s", address)
}
