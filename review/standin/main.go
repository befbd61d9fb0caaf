// Program review-standin runs the cases of the review: it starts the project's
// processes between stand-ins of the platform, the servers and the consumers,
// and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases maps the name of a case to its function, which returns what broke the
// rule, and false if the case could not run. With trouble unset the case does
// the same without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (broken []string, ran bool){
	"backlog": backlogCase,
	"thin":    thinLinkCase,
	"silence": silenceCase,
	"memory":  memoryCase,
	"late":    lateCase,
	"hub":     hubCase,
	"born":    bornCase,
	"twice":   twiceCase,
}

var caseBounds = map[string]bounds{
	"backlog": grownBounds,
	"thin":    grownBounds,
	"silence": smallBounds,
	"memory":  grownBounds,
	"late":    smallBounds,
	"hub":     grownBounds,
	"born":    grownBounds,
	"twice":   smallBounds,
}

func main() {
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) (code int) {
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = out.Close() }()
	f := newFleet(out, caseBounds[name])
	defer f.stop()
	defer func() {
		if cause := recover(); cause != nil {
			f.record("the case could not run: %v", cause)
			fmt.Println("the case could not run:", cause)
			code = 2
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f.record("case %s, trouble %v", name, trouble)
	broken, ran := cases[name](f, trouble)
	for _, b := range broken {
		f.record("BROKEN %s", b)
	}
	for _, b := range broken[:min(len(broken), 10)] {
		fmt.Println("broken:", b)
	}
	switch {
	case !ran:
		f.record("the case could not run")
		fmt.Println("the case could not run")
		return 2
	case len(broken) > 0:
		f.record("the rule was broken %d times", len(broken))
		fmt.Printf("the rule was broken %d times\n", len(broken))
		return 1
	}
	f.record("the rule held")
	fmt.Println("the rule held")
	return 0
}
