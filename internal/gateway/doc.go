// Package gateway takes opaque requests by the operators' routing document to
// upstreams and back: it finds the route, identifies the client account, chooses
// a model, a version and an upstream, repeats what may be repeated, and says
// truthfully of each refusal whether the request ran.
//
// What it knows of the outside comes through Table, Fleet and Rollouts, which a
// deployment's adapter feeds; how headers are called comes with Headers. The
// order of the steps of a request stands in (*Gateway).filters.
package gateway
