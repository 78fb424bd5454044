// Package gateway forwards callers' requests to upstreams by the operators' routing document. It
// matches the route, identifies the client account, chooses a model, a version and an upstream,
// retries where that is permitted, and reports with each refusal whether the request may have run.
//
// The data that requests are routed by comes from routing.Table, Fleet and the roll-outs, which
// are filled from the tables of the store. Header names are configured by Headers.
// (*Gateway).filters lists the steps of a request in their order.
//
// Some terms: an engine is an upstream that runs language models and has to process a prompt
// (prefill) before it answers; the upstreams of plain services don't. Hosts exchange data through
// hubs, which form a tree; the root hubs grant leases for requests to upstreams that are cold or
// rate-limited.
package gateway
