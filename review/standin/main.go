// Command standin plays the platform, the servers and the clients of the review cases that have a
// script, on loopback addresses, with three gateways as processes of their own. It exits with 1 if the
// case's rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

// Names of the cases.
const (
	caseLoad     = "load"
	caseRollback = "rollback"
)

// The traffic: sessions, whose requests follow each other, and requests of their own.
const (
	sessions       = 40
	sessionPause   = 500 * time.Millisecond
	otherPerSecond = 100
	// usualRunsPerSecond is what one of the servers of a version runs if the version serves alone.
	usualRunsPerSecond = (otherPerSecond + sessions*2) / serversPerVersion
)

// Bounds of the settings, and times of the platform.
const (
	sessionS       = 5 * time.Second // session_s
	rollbackTime   = 5 * time.Second // rollback_ms
	canaryShare    = 0.15
	canaryHeadroom = 30
	drainTime      = 2 * time.Second // drain_ms
	rolloutS       = 16
	// newServersDrain is the time from "reverted" to the draining of the new servers.
	newServersDrain  = 3 * time.Second
	secondOrderDelay = 500 * time.Millisecond
	afterSecondOrder = 7 * time.Second
	afterEnd         = 15 * time.Second
)

// options are the flags.
type options struct {
	name, gateway, dir, record string
	trouble                    bool
}

func main() {
	var o options
	flag.StringVar(&o.name, "case", caseRollback, "load or rollback")
	flag.BoolVar(&o.trouble, "trouble", true, "play the disruption")
	flag.StringVar(&o.gateway, "gateway", "target/quetzalweir", "the program of the deploy file")
	flag.StringVar(&o.dir, "dir", "", "folder for settings and logs")
	flag.StringVar(&o.record, "record", "", "file for what was sent, answered and run")
	flag.Parse()
	if cases[o.name] == nil {
		fmt.Fprintln(os.Stderr, "unknown case", o.name)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		stopHosts()
		os.Exit(2)
	}()
	broken, err := run(o)
	stopHosts()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "case couldn't run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// run plays the case and reports whether the rule was broken.
func run(o options) (broken bool, err error) {
	store := platformtest.NewStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(listener, store) }()
	rec := newRecorder()
	f := &fleet{store: store, rec: rec}
	store.Put("op", "config", document())
	if err := f.start("v1", fault{}); err != nil {
		return false, err
	}
	hosts, err := startHosts(o.gateway, o.dir, listener.Addr().String())
	if err != nil {
		return false, err
	}
	ctx, stopClients := context.WithCancel(context.Background())
	defer stopClients()
	done := startClients(ctx, hosts, rec)
	time.Sleep(2 * time.Second)
	if err := cases[o.name](f, o.trouble); err != nil {
		return false, err
	}
	stopClients()
	done.Wait()
	judge := rec.judgePinned
	if o.name == caseLoad {
		judge = rec.judgeExposure
	}
	broken, summary := judge()
	fmt.Println(summary)
	return broken, rec.write(o.record, summary)
}

// cases holds what the operator does in each case.
var cases = map[string]func(f *fleet, trouble bool) error{caseRollback: playRollback, caseLoad: playLoad}

// playRollback orders a bad version and, once it is rolled back, a sound one. Without trouble there is no
// second order.
func playRollback(f *fleet, trouble bool) error {
	if err := f.rollOut("v2", fault{share: 0.5}); err != nil {
		return err
	}
	if state := f.awaitEnd((rolloutS + 4) * time.Second); state != "reverted" {
		return fmt.Errorf("%w: %q", errNotReverted, state)
	}
	time.AfterFunc(newServersDrain, func() { f.drain("v2") })
	time.Sleep(secondOrderDelay)
	if trouble {
		if err := f.rollOut("v3", fault{}); err != nil {
			return err
		}
	}
	time.Sleep(afterSecondOrder)
	return nil
}

// playLoad orders a version that is bad under load; without trouble it is sound.
func playLoad(f *fleet, trouble bool) error {
	bad := fault{share: 0.25, abovePerSecond: usualRunsPerSecond * 2 / 3}
	if !trouble {
		bad = fault{}
	}
	if err := f.rollOut("v2", bad); err != nil {
		return err
	}
	switch f.awaitEnd((rolloutS + 4) * time.Second) {
	case "completed":
		f.stop("v1")
	case "reverted":
		time.AfterFunc(newServersDrain, func() { f.drain("v2") })
	}
	time.Sleep(afterEnd)
	return nil
}

var errNotReverted = errors.New("the bad version wasn't rolled back")

// randomID returns the id of a client attempt.
func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
