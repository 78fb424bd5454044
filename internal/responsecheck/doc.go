// Package responsecheck decides whether an HTTP/1.1 response is valid and complete (RFC 9110, RFC 9112). It does no
// I/O. The transports and connections of package sealedconn apply it to all responses that the project reads.
package responsecheck
