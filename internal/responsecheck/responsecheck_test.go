package responsecheck

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// A body that ends with its connection is complete only if the connection was closed in order and a success isn't ahead
// of its request.
func TestEndOfResponse(t *testing.T) {
	is := is.New(t)
	is.Equal(EndOfData(nil), io.EOF)
	is.Equal(faultOf(EndOfData(syscall.EPIPE)), Reset)
	is.True(errors.Is(EndOfData(syscall.EPIPE), syscall.EPIPE))
	for _, test := range []struct {
		end  End
		want Fault
	}{
		{End{Status: 200}, ""},
		{End{Status: 200, RequestWritten: true, EndsWithConnection: true}, ""},
		{End{Status: 200, EndsWithConnection: true}, RequestIncomplete},
		{End{Status: 204, EndsWithConnection: true}, RequestIncomplete},
		{End{Status: 302, EndsWithConnection: true}, ""},
		{End{Status: 413, EndsWithConnection: true}, ""},
		{End{Status: 500, EndsWithConnection: true}, ""},
	} {
		is.Equal(faultOf(test.end.Check()), test.want)
	}
}

func TestHeadOfResponse(t *testing.T) {
	is := is.New(t)
	for status := -1; status <= 1000; status++ {
		want := Status
		if status >= 200 && status < 600 {
			want = ""
		}
		is.Equal(faultOf(CheckHead(1, status, nil)), want)
	}
	is.Equal(faultOf(CheckHead(9, 200, nil)), Version)
	is.Equal(faultOf(CheckHead(2, 200, nil)), Version)
}

func TestFieldNames(t *testing.T) {
	is := is.New(t)
	const tokens = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for b := range 256 {
		name := "X" + string([]byte{byte(b)}) + "Name"
		want := FieldName
		if strings.Contains(tokens, string([]byte{byte(b)})) {
			want = ""
		}
		is.Equal(faultOf(CheckHead(1, 200, http.Header{name: {"value"}})), want)
	}
	is.Equal(faultOf(CheckFieldNames(http.Header{"": {"value"}})), FieldName)
	is.NoErr(CheckFieldNames(nil))
	long := CheckFieldNames(http.Header{strings.Repeat(" ", 1<<16): {"value"}})
	is.True(len(long.Error()) < 128)
}

// BenchmarkCheckHead measures the check of a usual head.
func BenchmarkCheckHead(b *testing.B) {
	header := http.Header{}
	for _, name := range []string{"Content-Type", "Content-Length", "Date", "X-Request-Id", "X-Server-Stamp", "X-Load", "X-Confidence", "Connection", "Keep-Alive", "X-Instance"} {
		header.Set(name, "value")
	}
	for b.Loop() {
		if CheckHead(1, 200, header) != nil {
			b.Fatal("refused")
		}
	}
}

func TestFaultOf(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		err  error
		want Fault
	}{
		{nil, ""},
		{fmt.Errorf("upstream: %w", CheckHead(1, 0, nil)), Status},
		{&net.OpError{Op: "read", Err: syscall.ECONNRESET}, Reset},
		{io.ErrUnexpectedEOF, CutOff},
		{&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, ""},
		{context.Canceled, ""},
		{context.DeadlineExceeded, ""},
		{errors.New("malformed chunked encoding"), Malformed},
		{errors.New("net/http: server response headers exceeded 65536 bytes; aborted"), Malformed},
		{errors.New("http: server closed idle connection"), CutOff},
		{errors.New("sealedconn: the call has ended"), ""},
	} {
		is.Equal(FaultOf(test.err), test.want)
	}
}

func faultOf(err error) Fault {
	var e *Error
	if errors.As(err, &e) {
		return e.Fault
	}
	return ""
}
