package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"
)

//go:embed wire.json
var wireText []byte

//go:embed settings.tmpl
var settingsText string

//go:embed config.tmpl
var configText string

// wire holds the names of the platform's pages.
var wire = map[string]string{}

func init() { must(json.Unmarshal(wireText, &wire)) }

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// bounds are the bounds of a deployment.
type bounds struct {
	Stable, Drain, Config, Grace time.Duration
	BudgetSlack                  int
}

// route is a route of the configuration.
type route struct {
	Name, Host, Prefix, Kind, Service       string
	TimeoutMs, TargetMs, Priority, Attempts int
	Stream, Resumable                       bool
}

// fleet is one deployment under test: the platform, the servers and the
// project's own processes.
type fleet struct {
	bounds  bounds
	store   *store
	procs   []*process
	dir     string
	started time.Time

	mu       sync.Mutex
	out      io.Writer
	arrivals []arrival
	works    []work
	handles  map[string]*server
}

func newFleet(out io.Writer, b bounds) *fleet {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	f := &fleet{bounds: b, store: startStore(), dir: dir, started: time.Now(), out: out, handles: map[string]*server{}}
	return f
}

// record writes a line to the record.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.out, "%8.3f "+format+"\n", append([]any{time.Since(f.started).Seconds()}, args...)...)
}

func (f *fleet) arrived(a arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, a)
}

// configure writes a version of the configuration and returns when the store has
// acknowledged it.
func (f *fleet) configure(version int, routes []route) time.Time {
	var b bytes.Buffer
	must(template.Must(template.New("config").Parse(configText)).Execute(&b, map[string]any{"Version": version, "Routes": routes}))
	at := f.store.Put(wire["configKey"], b.Bytes())
	f.record("configuration version=%d routes=%d bytes=%d acknowledged", version, len(routes), b.Len())
	return at
}

// process is one of the project's own processes.
type process struct {
	fleet        *fleet
	Name         string
	IP, Zone     string
	Front, Ready string
	PeerPort     int
	PeerPortLast int
	CPUShare     float64
	MemoryMB     int
	Bounds       bounds
	Store        string

	path  *proxy // to the store
	cmd   *exec.Cmd
	ended chan struct{}
	log   *os.File
}

// freePorts returns four free ports of an address, of which the last two are
// consecutive.
func freePorts(ip string) []int {
	for {
		var open []net.Listener
		var ports []int
		listen := func(port int) bool {
			l, err := net.Listen("tcp", fmt.Sprint(ip, ":", port))
			if err != nil {
				return false
			}
			open, ports = append(open, l), append(ports, l.Addr().(*net.TCPAddr).Port)
			return true
		}
		ok := listen(0) && listen(0) && listen(0) && listen(ports[2]+1)
		for _, l := range open {
			_ = l.Close()
		}
		if ok {
			return ports
		}
	}
}

// startProcess starts a process with the command of the deploy file.
func (f *fleet) startProcess(zone string, cpuShare float64, memoryMB int) *process {
	n := len(f.procs) + 1
	p := &process{
		fleet: f, Name: fmt.Sprintf("front-%s-%02d", zone, n), IP: fmt.Sprint("127.0.7.", n), Zone: zone,
		CPUShare: cpuShare, MemoryMB: memoryMB, Bounds: f.bounds, path: startProxy(f.store.address),
	}
	ports := freePorts(p.IP)
	p.Front, p.Ready = fmt.Sprint(p.IP, ":", ports[0]), fmt.Sprint(p.IP, ":", ports[1])
	p.PeerPort, p.PeerPortLast, p.Store = ports[2], ports[3], p.path.address()
	f.procs = append(f.procs, p)
	p.start()
	return p
}

func (p *process) start() {
	settings := filepath.Join(p.fleet.dir, p.Name+".toml")
	var b bytes.Buffer
	must(template.Must(template.New("settings").Parse(settingsText)).Execute(&b, p))
	must(os.WriteFile(settings, b.Bytes(), 0o600))
	var err error
	p.log, err = os.OpenFile(filepath.Join(p.fleet.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	p.cmd = exec.Command("target/bramleywickd", "front")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire["settingsVariable"] + "=" + settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	must(p.cmd.Start())
	ended := make(chan struct{})
	p.ended = ended
	cmd := p.cmd
	go func() {
		err := cmd.Wait()
		p.fleet.record("process %s ended: %v", p.Name, err)
		close(ended)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.fleet.record("signal %v to %s", s, p.Name)
	_ = p.cmd.Process.Signal(s)
}

// ready asks the readiness endpoint once, as the platform does each second.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all processes are ready; false when one is not in time.
func (f *fleet) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, p := range f.procs {
		for !p.ready() {
			if time.Now().After(end) {
				f.record("%s is not ready", p.Name)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	for _, p := range f.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.procs {
		<-p.ended
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
