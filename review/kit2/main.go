package main

import (
	"fmt"
	"os"
)

// Exit codes of the cases.
const (
	ruleHeld = iota
	ruleBroken
	couldNotRun
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE RECORD")
		os.Exit(couldNotRun)
	}
	cases := map[string]func(w *world, trouble bool) (broken bool, err error){
		"dropped":  playDropped,
		"removed":  playRemoved,
		"unmarked": playUnmarked,
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", os.Args[1])
		os.Exit(couldNotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(*world, bool) (bool, error), record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer w.close()
	w.put("op", "config", config())
	broken, err := play(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	case broken:
		w.note("the rule was broken")
		return ruleBroken
	}
	w.note("the rule held")
	return ruleHeld
}
