package peer

import (
	"io"
	"net"
	"runtime"
	"testing"
)

// BenchmarkDialRelayed measures the opening and closing of a relayed connection: the processor time of both
// hosts and of the third party.
func BenchmarkDialRelayed(b *testing.B) {
	address, client, relay := startRelayBench(b)
	for b.Loop() {
		conn, err := client.DialRelayed(b.Context(), relay, address, RelayEvents{})
		if err != nil {
			b.Fatal(err)
		}
		conn.Close()
	}
}

// BenchmarkRelayedEcho measures a round trip of 4 KB over a relayed connection, at both hosts and the third
// party.
func BenchmarkRelayedEcho(b *testing.B) {
	address, client, relay := startRelayBench(b)
	conn, err := client.DialRelayed(b.Context(), relay, address, RelayEvents{})
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	data := make([]byte, 4<<10)
	b.SetBytes(int64(2 * len(data)))
	for b.Loop() {
		if _, err := conn.Write(data); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleRelayedConns reports the memory of an open relayed connection at both hosts together.
func BenchmarkIdleRelayedConns(b *testing.B) {
	address, client, relay := startRelayBench(b)
	const conns = 200
	for b.Loop() {
		before := memoryInUse()
		var open []net.Conn
		for range conns {
			conn, err := client.DialRelayed(b.Context(), relay, address, RelayEvents{})
			if err != nil {
				b.Fatal(err)
			}
			if _, err := conn.Write([]byte("x")); err != nil {
				b.Fatal(err)
			}
			if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
				b.Fatal(err)
			}
			open = append(open, conn)
		}
		b.ReportMetric(float64(memoryInUse()-before)/conns, "B/conn")
		for _, conn := range open {
			conn.Close()
		}
	}
}

// memoryInUse returns the size of the heap and the stacks in use, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// startRelayBench starts a third party that echoes and a host that relays connections.
func startRelayBench(b *testing.B) (address string, client *Client, relay string) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(conn, conn)
				conn.Close()
			}()
		}
	}()
	server, _ := startServer(b, ServerOptions{Keys: []Key{testKey("k1")}, RelayDialer: dialDirectly})
	return listener.Addr().String(), newClient(b, ClientOptions{Keys: []Key{testKey("k1")}}), server.Addr()
}
