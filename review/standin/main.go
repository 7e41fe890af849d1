// Command standin runs the review's cases: it starts nodes of the program under review as separate
// processes on loopback addresses, with stand-ins of the platform's store, of workers and of
// clients. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
//
//	standin CASE RECORD
//
// With TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// host is the host name of all routes.
const host = "ficu95.example"

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(*record, bool) (int, error){
	"prefix": runPrefix,
	"upload": runUpload,
	"gone":   runGone,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return failed
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, disruption %t", os.Args[1], trouble)
	code, err := cases[os.Args[1]](record, trouble)
	if err != nil {
		record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	record.line("exit code %d", code)
	fmt.Printf("exit code %d\n", code)
	return code
}
