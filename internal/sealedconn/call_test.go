package sealedconn

import (
	"errors"
	"net"
	"net/http/httptrace"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// blockingConn blocks each write until the test supplies its result.
type blockingConn struct {
	net.Conn
	started chan struct{}
	finish  chan writeResult
	closed  *bool
}

type writeResult struct {
	n   int
	err error
}

func (c blockingConn) Write([]byte) (int, error) {
	c.started <- struct{}{}
	result := <-c.finish
	return result.n, result.err
}

func (c blockingConn) Close() error {
	*c.closed = true
	return nil
}

func newBlockingConn() (*trackedConn, blockingConn) {
	inner := blockingConn{started: make(chan struct{}, 1), finish: make(chan writeResult), closed: new(bool)}
	return &trackedConn{Conn: inner}, inner
}

// expectWriteError checks that a write returns the error want and doesn't reach the
// inner connection, which would accept it.
func expectWriteError(t *testing.T, conn *trackedConn, inner blockingConn, want error) {
	t.Helper()
	close(inner.finish)
	_, err := conn.Write([]byte("request"))
	is.New(t).True(errors.Is(err, want))
	is.New(t).Equal(len(inner.started), 0) // the inner connection received no write
}

// writeWithResult writes to conn while the inner connection returns result.
func writeWithResult(conn *trackedConn, inner blockingConn, result writeResult) error {
	go func() {
		<-inner.started
		inner.finish <- result
	}()
	_, err := conn.Write([]byte("request"))
	return err
}

func TestSealBeforeWrite(t *testing.T) {
	is := is.New(t)
	conn, inner := newBlockingConn()
	onWriteCalls := 0
	call := &Call{OnWrite: func() { onWriteCalls++ }}
	call.attach(conn)
	is.Equal(call.Abandon(), NotStarted)
	is.True(*inner.closed)
	expectWriteError(t, conn, inner, errCallEnded)
	is.Equal(onWriteCalls, 0)
}

func TestSealDuringWrite(t *testing.T) {
	is := is.New(t)
	conn, inner := newBlockingConn()
	onWriteCalls := make(chan struct{}, 1)
	call := &Call{OnWrite: func() { onWriteCalls <- struct{}{} }}
	call.attach(conn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = conn.Write([]byte("request"))
	}()
	<-inner.started
	is.Equal(len(onWriteCalls), 1) // OnWrite was called before the first byte
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
		{"none", nil, NotStarted},
		{"whole", []writeResult{{n: 7}}, Written},
		{"part", []writeResult{{n: 1, err: broken}}, Written},
		{"nothing", []writeResult{{n: 0, err: broken}}, NothingWritten},
		{"part, then nothing", []writeResult{{n: 7}, {n: 0, err: broken}}, Written},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			conn, inner := newBlockingConn()
			call := new(Call)
			call.attach(conn)
			for _, result := range test.writes {
				is.New(t).Equal(writeWithResult(conn, inner, result), result.err)
			}
			is.New(t).Equal(call.Abandon(), test.want)
		})
	}
}

// The transport may assign a connection to the next call before the previous call
// has processed its response. Abandoning the previous call must neither report the
// progress of the next call nor close the connection.
func TestAbandonAfterNextCallStarted(t *testing.T) {
	is := is.New(t)
	conn, inner := newBlockingConn()
	first, second := new(Call), new(Call)
	first.attach(conn)
	is.NoErr(writeWithResult(conn, inner, writeResult{n: 7}))
	second.attach(conn)
	is.Equal(first.Abandon(), Written)
	is.True(!*inner.closed)
	is.NoErr(writeWithResult(conn, inner, writeResult{n: 7}))
	is.Equal(second.Abandon(), Written)
	is.True(*inner.closed)
}

func TestSecondConnection(t *testing.T) {
	tests := []struct {
		desc       string
		repeatable bool
		want       error
	}{
		{"not repeatable", false, errAlreadySent},
		{"repeatable", true, nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			call := &Call{Repeatable: test.repeatable}
			first, firstInner := newBlockingConn()
			second, secondInner := newBlockingConn()
			call.attach(first)
			call.attach(second)
			is.NoErr(writeWithResult(first, firstInner, writeResult{n: 7}))
			if test.want != nil {
				expectWriteError(t, second, secondInner, test.want)
			} else {
				is.NoErr(writeWithResult(second, secondInner, writeResult{n: 7}))
			}
			is.Equal(call.Seal(), Written)
		})
	}
}

func TestUntrackedConnection(t *testing.T) {
	call := new(Call)
	call.gotConn(httptrace.GotConnInfo{Conn: new(net.TCPConn)})
	is.New(t).Equal(call.Abandon(), Written)
}

// A call that isn't admitted writes nothing, on no connection; one that is isn't asked again.
func TestCallThatIsNotAdmitted(t *testing.T) {
	is := is.New(t)
	refused := errors.New("not admitted")
	conn, inner := newBlockingConn()
	onWriteCalls := 0
	call := &Call{Admit: func() error { return refused }, OnWrite: func() { onWriteCalls++ }}
	call.attach(conn)
	expectWriteError(t, conn, inner, refused)
	is.Equal(call.Seal(), NotStarted)
	other, otherInner := newBlockingConn()
	call.attach(other)
	expectWriteError(t, other, otherInner, errCallEnded)
	is.Equal(onWriteCalls, 0)

	admissions := 0
	conn, inner = newBlockingConn()
	call = &Call{Admit: func() error { admissions++; return nil }}
	call.attach(conn)
	for range 2 {
		is.NoErr(writeWithResult(conn, inner, writeResult{n: 7}))
	}
	is.Equal(admissions, 1)
	is.Equal(call.Seal(), Written)
}

// The end of a response may be read before the goroutine that wrote the request has noticed the end of its write.
func TestRequestIsWholeOnceItsWritesHaveEnded(t *testing.T) {
	for _, test := range []struct {
		desc   string
		result writeResult
		passed error
		want   bool
	}{
		{"whole", writeResult{n: 7}, nil, true},
		{"last write fails", writeResult{n: 3, err: errors.New("reset")}, nil, false},
		{"given up", writeResult{n: 7}, errors.New("reset"), false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				conn, inner := newBlockingConn()
				call := new(Call)
				call.Trace(t.Context())
				call.attach(conn)
				result := make(chan bool, 1)
				go func() { result <- call.wroteWhole() }()
				go func() { _, _ = conn.Write([]byte("request")) }()
				<-inner.started
				call.wroteRequest(httptrace.WroteRequestInfo{Err: test.passed})
				synctest.Wait()
				is.Equal(len(result), 0) // the write is in progress
				inner.finish <- test.result
				is.Equal(<-result, test.want)
			})
		})
	}
}
