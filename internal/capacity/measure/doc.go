// Package measure takes the slopes of package capacity of the code itself, in
// this process and over loopback.
//
// Processor time is that of the whole process, so the other end of a call is
// in it unless a slope's note says otherwise; it is counted while nothing else
// runs here, but other processes of the machine slow it down. Memory is the
// heap after a collection; stacks are counted where a note says so. Bytes are
// those of connections, without the headers of TCP and IP.
package measure
