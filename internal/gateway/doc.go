// Package gateway forwards callers' requests to upstreams as the operators' routing document
// declares. For each request it matches the route, identifies the client account, chooses a model,
// a version and an upstream, and retries where that is permitted. Each refusal states whether the
// request may have run.
//
// Requests are routed by a routing.Table, a Fleet and the roll-outs, which hold data from the
// tables of the store. Headers configures the header names. (*Gateway).filters lists the steps of
// processing a request in their order.
//
// An engine is an upstream that runs language models and has to process a prompt (prefill) before
// it answers; an upstream of a plain service doesn't. A host is a process that runs a gateway.
// Hosts exchange data through hubs, which form a tree. The root hubs grant leases to hosts for
// requests to upstreams that are cold (just started, so that they tolerate few requests) or
// rate-limited.
package gateway
