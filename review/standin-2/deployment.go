package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	return &record{out: out, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// program is the command of the deploy file, which runs in the root of the repository.
const program = "target/bramleywickd"

// instance is one process of the system.
type instance struct {
	name, front, ready string
	settings, log      string
	// text returns the settings with a grace time in seconds.
	text  func(grace int) string
	cmd   *exec.Cmd
	ended chan struct{}
}

// usualGrace is the grace time of a planned stop in seconds.
const usualGrace = 8

// options are the fields of the settings that cases choose.
type options struct {
	name, zone, store string
	// bounds is text for the section of this name, and cloud that section.
	bounds, cloud string
}

// lastIP is the last part of the newest instance's address. Each instance has an address
// of its own, so that no outgoing connection takes its ports while it is restarted.
var lastIP = os.Getpid() % 200

// freePorts returns n free ports on an address, each followed by another free one.
func freePorts(ip string, n int) ([]int, error) {
	var out []int
	for len(out) < n {
		a, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer a.Close()
		port := a.Addr().(*net.TCPAddr).Port
		b, err := net.Listen("tcp", fmt.Sprint(ip, ":", port+1))
		if err == nil {
			defer b.Close()
			out = append(out, port)
		}
	}
	return out, nil
}

// newInstance writes the settings of an instance; start starts its process.
func newInstance(dir string, o options) (*instance, error) {
	lastIP++
	ip := fmt.Sprint("127.0.9.", lastIP)
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	i := &instance{
		name: o.name, front: fmt.Sprint(ip, ":", ports[1]), ready: fmt.Sprint(ip, ":", ports[2]),
		settings: filepath.Join(dir, o.name+".toml"), log: filepath.Join(dir, o.name+".log"),
	}
	i.text = func(grace int) string {
		return fmt.Sprintf(settingsText, o.name, ip, o.zone, ports[0], ports[0]+1, i.front, i.ready, grace, o.bounds, o.store, o.cloud)
	}
	return i, i.configure(usualGrace)
}

// configure writes the settings file.
func (i *instance) configure(grace int) error {
	return os.WriteFile(i.settings, []byte(i.text(grace)), 0o600)
}

func (i *instance) start() error {
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "front")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", wire["settings"] + "=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with the harness.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); _ = log.Close(); close(ended) }()
	i.cmd, i.ended = cmd, ended
	return nil
}

func (i *instance) signal(s syscall.Signal) { _ = i.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (i *instance) kill() {
	if i.cmd == nil {
		return
	}
	_ = i.cmd.Process.Kill()
	<-i.ended
}

// isReady asks the readiness endpoint as the platform does.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *instance) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if i.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.name, limit)
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// err is not nil if the answer is not complete.
	err error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, body %q, broken: %v", a.status, a.body, a.err)
	}
	return fmt.Sprintf("status %d, retry-after %q, body %q, complete", a.status, a.header.Get("Retry-After"), a.body)
}

var clients = &http.Client{
	Timeout:       20 * time.Second,
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// send sends a request on a connection of its own and reads the answer.
func send(i *instance, method, path, id, body string, headers ...string) answer {
	return sendPatiently(20*time.Second, i, method, path, id, body, headers...)
}

// sendPatiently does the same and leaves if nothing comes for a time.
func sendPatiently(patience time.Duration, i *instance, method, path, id, body string, headers ...string) answer {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	silence := time.AfterFunc(patience, leave)
	defer silence.Stop()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", id)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	resp, err := clients.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	var got bytes.Buffer
	for piece := make([]byte, 4<<10); ; {
		n, err := resp.Body.Read(piece)
		got.Write(piece[:n])
		silence.Reset(patience)
		if err == io.EOF {
			err = nil
		} else if err == nil {
			continue
		}
		return answer{resp.StatusCode, resp.Header, got.String(), err}
	}
}
