package responsecheck

import (
	"errors"
	"io"
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
		{End{Status: 200, EndsWithConnection: true}, RequestUnread},
		{End{Status: 204, EndsWithConnection: true}, RequestUnread},
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
		is.Equal(faultOf(CheckHead(1, status)), want)
	}
	is.Equal(faultOf(CheckHead(9, 200)), Version)
	is.Equal(faultOf(CheckHead(2, 200)), Version)
}

func faultOf(err error) Fault {
	var e *Error
	if errors.As(err, &e) {
		return e.Fault
	}
	return ""
}
