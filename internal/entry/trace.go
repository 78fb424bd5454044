package entry

import (
	"net/http"
	"slices"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// traceEpoch responds with the bills and refusals under the manifest of an epoch.
func (h *Host) traceEpoch(w http.ResponseWriter, req *http.Request) {
	epoch, ok := parseEpoch(w, req)
	if !ok {
		return
	}
	head, err := h.headOfEpoch(req.Context(), epoch)
	if err != nil {
		writeOperatorError(w, httpStatus(err), err)
		return
	}
	trace, err := ledger.ByEpoch(req.Context(), h.platform.Table, h.platform.Objects, epoch)
	if err != nil {
		writeOperatorError(w, httpStatus(err), err)
		return
	}
	writeJSON(w, EpochTrace{Head: head, Bills: trace.Bills, Refusals: codeCounts(trace.Refusals)})
}

func codeCounts(counts map[int]int) []CodeCount {
	list := make([]CodeCount, 0, len(counts))
	for code, n := range counts {
		name := resultcode.Code(code).String()
		list = append(list, CodeCount{Code: code, Name: name, Count: n})
	}
	slices.SortFunc(list, func(a, b CodeCount) int { return a.Code - b.Code })
	return list
}

// traceRequest responds with a request's bill and the head of the manifest that applied
// to the request.
func (h *Host) traceRequest(w http.ResponseWriter, req *http.Request) {
	bill, err := ledger.ByRequest(req.Context(), h.platform.Table, h.platform.Objects, req.PathValue("request"))
	if err != nil {
		writeOperatorError(w, httpStatus(err), err)
		return
	}
	head, err := h.headOfEpoch(req.Context(), bill.Epoch)
	if err != nil {
		writeOperatorError(w, httpStatus(err), err)
		return
	}
	writeJSON(w, RequestTrace{Bill: bill, Head: head})
}
