package latency

import (
	"context"
	"io"
	"net"
	"os/exec"
	"time"

	"sliphead/internal/fault"
)

// Relay passes the bytes of connections on to an address and back until the
// context ends. Two of them in a row are the least that two hops can cost on a
// machine: what the nodes add is to be seen against that.
func Relay(ctx context.Context, listener net.Listener, to string) error {
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	for {
		near, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Internal, "end other programs that hold many files", "accept on %s", listener.Addr())
		}
		go relay(near, to)
	}
}

func relay(near net.Conn, to string) {
	defer near.Close()
	far, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(near, far)
}

// startRelays starts two relays in front of the worker as processes that end
// with this one, and waits until they listen.
func (r *runner) startRelays(program string) error {
	host, _, _ := net.SplitHostPort(r.meshes[Direct].Workers[0].Address)
	last := net.JoinHostPort(host, "8101")
	first := net.JoinHostPort(host, "8102")
	for _, each := range [][2]string{{last, r.meshes[Direct].Workers[0].Address}, {first, last}} {
		command := exec.Command(program, "relay", "--listen", each[0], "--to", each[1])
		input, err := command.StdinPipe() // its end tells the relay to end
		if err == nil {
			err = command.Start()
		}
		if err != nil {
			return fault.Wrap(err, fault.Settings, "run the program by its path", "start a relay")
		}
		r.relays = append(r.relays, func() {
			_ = input.Close()
			_ = command.Wait()
		})
	}
	r.relay = first
	return waitListening(first)
}

func waitListening(address string) error {
	const tries, pause = 100, 50 * time.Millisecond
	for range tries {
		if conn, err := net.Dial("tcp", address); err == nil {
			return conn.Close()
		}
		time.Sleep(pause)
	}
	return fault.New(fault.Unready, "free the address", "no relay listens on %s", address)
}
