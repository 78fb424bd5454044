package sealedconn

import (
	"errors"
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// gatedConn lets a write through when the test says so.
type gatedConn struct {
	net.Conn
	started chan struct{}
	finish  chan writeResult
	closed  *bool
}

type writeResult struct {
	n   int
	err error
}

func (c gatedConn) Write([]byte) (int, error) {
	c.started <- struct{}{}
	result := <-c.finish
	return result.n, result.err
}

func (c gatedConn) Close() error {
	*c.closed = true
	return nil
}

func newGatedConn() (*followedConn, gatedConn) {
	inner := gatedConn{started: make(chan struct{}, 1), finish: make(chan writeResult), closed: new(bool)}
	return &followedConn{Conn: inner}, inner
}

// refuse has the connection refuse a write; the inner connection would take it.
func refuse(t *testing.T, conn *followedConn, inner gatedConn, want error) {
	t.Helper()
	close(inner.finish)
	_, err := conn.Write([]byte("request"))
	is.New(t).True(errors.Is(err, want))
	is.New(t).Equal(len(inner.started), 0) // the inner connection saw nothing
}

// write has a write of the connection end with the result.
func write(conn *followedConn, inner gatedConn, result writeResult) error {
	go func() {
		<-inner.started
		inner.finish <- result
	}()
	_, err := conn.Write([]byte("request"))
	return err
}

func TestSealBeforeWrite(t *testing.T) {
	is := is.New(t)
	conn, inner := newGatedConn()
	noted := 0
	call := &Call{OnWrite: func() { noted++ }}
	call.attach(conn)
	is.Equal(call.Abandon(), Untouched)
	is.True(*inner.closed)
	refuse(t, conn, inner, errSealed)
	is.Equal(noted, 0)
}

func TestSealDuringWrite(t *testing.T) {
	is := is.New(t)
	conn, inner := newGatedConn()
	noted := make(chan struct{}, 1)
	call := &Call{OnWrite: func() { noted <- struct{}{} }}
	call.attach(conn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = conn.Write([]byte("request"))
	}()
	<-inner.started
	is.Equal(len(noted), 1) // before the first byte
	is.Equal(call.Seal(), Written)
	inner.finish <- writeResult{}
	<-done
}

func TestSealAfterWrite(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		desc   string
		writes []writeResult
		want   Progress
	}{
		{"none", nil, Untouched},
		{"whole", []writeResult{{n: 7}}, Written},
		{"part", []writeResult{{n: 1, err: broken}}, Written},
		{"nothing", []writeResult{{n: 0, err: broken}}, Begun},
		{"part, then nothing", []writeResult{{n: 7}, {n: 0, err: broken}}, Written},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			conn, inner := newGatedConn()
			call := new(Call)
			call.attach(conn)
			for _, result := range test.writes {
				is.New(t).Equal(write(conn, inner, result), result.err)
			}
			is.New(t).Equal(call.Abandon(), test.want)
		})
	}
}

// The transport may pass a connection on before the call that was answered
// notices. Its late end must neither speak for the next call nor cut it.
func TestAbandonAfterNextCallBegan(t *testing.T) {
	is := is.New(t)
	conn, inner := newGatedConn()
	first, second := new(Call), new(Call)
	first.attach(conn)
	is.NoErr(write(conn, inner, writeResult{n: 7}))
	second.attach(conn)
	is.Equal(first.Abandon(), Written)
	is.True(!*inner.closed)
	is.NoErr(write(conn, inner, writeResult{n: 7}))
	is.Equal(second.Abandon(), Written)
	is.True(*inner.closed)
}

func TestSecondConnection(t *testing.T) {
	tests := []struct {
		desc       string
		repeatable bool
		want       error
	}{
		{"not repeatable", false, errRepeated},
		{"repeatable", true, nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			call := &Call{Repeatable: test.repeatable}
			first, firstInner := newGatedConn()
			second, secondInner := newGatedConn()
			call.attach(first)
			call.attach(second)
			is.NoErr(write(first, firstInner, writeResult{n: 7}))
			if test.want != nil {
				refuse(t, second, secondInner, test.want)
			} else {
				is.NoErr(write(second, secondInner, writeResult{n: 7}))
			}
			is.Equal(call.Seal(), Written)
		})
	}
}

func TestConnectionThatIsNotFollowed(t *testing.T) {
	call := new(Call)
	call.gotConn(httptrace.GotConnInfo{Conn: new(net.TCPConn)})
	is.New(t).Equal(call.Abandon(), Written)
}
