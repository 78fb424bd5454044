package upstream

import (
	"net/http"

	"github.com/quetzalweir/quetzalweir/internal/sealedconn"
	"github.com/quetzalweir/quetzalweir/notice"
)

// noticeHeaders are the headers in which upstreams make statements.
var noticeHeaders = notice.Headers{Leaving: HeaderLeaving, RetryAfter: headerRetryAfter}

// NoticeFunc receives what the head of an answer states about the target. It is called before the
// answer is checked or read, and must not block.
type NoticeFunc func(target Target, n notice.Notice)

// AdmitFunc reports whether a new request may still be sent to the target. It is called before the
// first byte is written, since a request can wait for a connection, and must not block.
type AdmitFunc func(target Target) bool

// roundTrip sends a request to the target, and passes what the head of the answer states to
// onNotice, if that is set. All requests of this package are sent by it.
func roundTrip(transport *sealedconn.Transport, req *http.Request, target Target, onNotice NoticeFunc) (*http.Response, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil || onNotice == nil {
		return resp, err
	}
	if n := notice.Read(resp.StatusCode, resp.Header, noticeHeaders); !n.IsZero() {
		onNotice(target, n)
	}
	return resp, nil
}
