package upstream

import (
	"net/http"

	"github.com/quetzalweir/quetzalweir/notice"
)

// NoticeFunc receives what the head of an answer states about the target. It is called before the
// answer is checked or read, and must not block.
type NoticeFunc func(target Target, n notice.Notice)

// roundTrip sends a request to the target, and passes what the head of the answer states to
// onNotice, if that is set. All requests of this package are sent by it.
func roundTrip(transport *http.Transport, req *http.Request, target Target, onNotice NoticeFunc) (*http.Response, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil || onNotice == nil {
		return resp, err
	}
	if n := notice.Read(resp.Header, notice.Headers{Leaving: HeaderLeaving}); !n.IsZero() {
		onNotice(target, n)
	}
	return resp, nil
}
