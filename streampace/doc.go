// Package streampace decides whether a stream of events should be moved to another engine: whether
// it will end after its deadline or has been silent for too long, while streams usually proceed much
// faster and another engine can finish it in time. The package reads no clock. Durations count only
// the time for which a host waited for the engine, so that a caller that reads slowly doesn't make a
// stream look slow.
package streampace
