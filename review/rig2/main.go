// Command rig2 runs the scripted cases of the second review: sidecars as processes, with
// stand-ins of the platform's store, targets and clients, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest bounds a case; explore takes as long as it is told.
const longest = 115 * time.Second

var cases = map[string]func(*fleet) bool{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play runs a case and returns the exit status: 0 if the rule held, 1 if it was broken and
// 2 if the case could not run.
func play(name, root, record string) (status int) {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	var f *fleet
	defer func() {
		if p := recover(); p != nil {
			e, ok := p.(errSetup)
			if !ok {
				panic(p)
			}
			fmt.Fprintln(os.Stderr, "could not run:", e.err)
			status = 2
		}
		if f != nil {
			f.close()
		}
	}()
	f = newFleet(root, record)
	go f.endEarly(name)
	if run(f) {
		return 1
	}
	return 0
}

// endEarly ends the script and its processes if it is told to, or takes too long.
func (f *fleet) endEarly(name string) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
	var late <-chan time.Time
	if name != "explore" {
		late = time.After(longest)
	}
	select {
	case <-told:
	case <-late:
	}
	fmt.Fprintln(os.Stderr, "ended early")
	f.close()
	os.Exit(2)
}
