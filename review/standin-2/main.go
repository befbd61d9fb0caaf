// Command review-standin-2 plays the cases of the second review: it starts the
// system's processes and stand-ins of the platform, the servers and the clients, and
// writes a record. It exits with 1 if the rule was broken, with 0 if it held, and with
// 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// play is what a case has to work with.
type play struct {
	*record
	dir       string
	trouble   bool
	instances []*instance
}

// cases are the cases by name; each returns whether the rule was broken.
var cases = map[string]func(*play) (bool, error){
	"first-event":            firstEvent,
	"half-close":             halfClose,
	"restart-beside-restore": restartBesideRestore,
	"shorter-grace":          shorterGrace,
	"restore-usage":          restoreUsage,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p := &play{record: r, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, i := range p.instances {
			i.kill()
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](p)
		done <- outcome{broken, err}
	}()
	var broken bool
	select {
	case o := <-done:
		broken, err = o.broken, o.err
	case <-signals:
		err = errors.New("told to end")
	case <-time.After(maxTime):
		err = errors.New("the case takes too long")
	}
	switch {
	case err != nil:
		p.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken:
		p.add("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	p.add("the rule held")
	fmt.Println("the rule held")
	return 0
}

// deploy starts instances and waits until they are ready.
func (p *play) deploy(list ...options) error {
	for _, o := range list {
		i, err := newInstance(p.dir, o)
		if err != nil {
			return err
		}
		p.instances = append(p.instances, i)
		if err := i.start(); err != nil {
			return err
		}
		p.add("%s started", i.name)
	}
	return nil
}
