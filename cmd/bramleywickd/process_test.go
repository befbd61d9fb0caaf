package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/dev"
	"github.com/bramleywick/bramleywick/standin/engine"
	"github.com/bramleywick/bramleywick/store"
)

var binary string

// TestMain builds the daemon once for all tests with real processes.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bramleywickd")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "bramleywickd")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// startLimit is a timeout for tests that fail.
const startLimit = 20 * time.Second

// process is a daemon or stand-in that runs as a process of its own.
type process struct {
	cmd       *exec.Cmd
	addresses map[string]string
}

// spawn starts the binary and waits until it has logged the addresses of all
// listeners.
func spawn(t *testing.T, listeners []string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(binary, args...), addresses: map[string]string{}}
	read, write := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = write, write
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.kill() })
	ready := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(read)
		for lines.Scan() {
			if len(p.addresses) < len(listeners) && p.parseAddress(lines.Text()) == len(listeners) {
				close(ready)
			}
		}
	}()
	select {
	case <-ready:
	case <-time.After(startLimit):
		t.Fatalf("%v did not start", args)
	}
	return p
}

// parseAddress records the address in a log line about a listener and returns the
// number of known addresses.
func (p *process) parseAddress(line string) int {
	if address, ok := strings.CutPrefix(line, "listening on "); ok {
		p.addresses["main"] = address
	}
	var entry struct{ Msg, For, Address string }
	if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "listening" {
		p.addresses[entry.For] = entry.Address
	}
	return len(p.addresses)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// deployment is a platform and a plain service, each in its own process, and the
// number of daemons started.
type deployment struct {
	t                 *testing.T
	platform, service *process
	store             store.Store
	instances         int
}

func deploy(t *testing.T, delay string) *deployment {
	d := &deployment{t: t}
	d.platform = spawn(t, []string{"main"}, "dev", "platform")
	d.service = spawn(t, []string{"main"}, "dev", "service", "-delay", delay)
	d.store = store.NewClient("http://"+d.platform.addresses["main"], http.DefaultClient)
	return d
}

// startInstance starts a daemon and waits until it listens. Instances are named i1, i2
// and so on.
func (d *deployment) startInstance() *process {
	d.t.Helper()
	d.instances++
	path := filepath.Join(d.t.TempDir(), "settings.ini")
	text := fmt.Sprintf(`[instance]
id = i%d
data_centre = dc
balancer_delay = 0s
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
admin = 127.0.0.1:0
[platform]
url = http://%s
[operators]
key_sha256 = %s
`, d.instances, d.platform.addresses["main"], declare.HashKey(dev.OperatorKey))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return spawn(d.t, []string{"callers", "operators", "admin"}, "run", "-config", path)
}

// apply applies a configuration with the plain service and one engine at p.
func (d *deployment) apply(p *process, engineAddress, adapter string) {
	d.t.Helper()
	text := fmt.Sprintf(`[member m]
key_sha256 = %s
kinds = payout, word
[kind payout]
group = accounts
deadline = 10s
repeatable = false
[kind word]
group = language
first_token = 1s
token_gap = 74ms
deadline = 60s
max_prompt_tokens = 100000
max_output_tokens = 4000
repeatable = true
[group accounts]
type = service
[group language]
type = engine
model = m
adapter = %s
[upstream s]
group = accounts
address = %s
data_centre = dc
[upstream e]
group = language
address = %s
data_centre = dc
[route /pay]
kind = payout
`, declare.HashKey(dev.MemberKey), adapter, d.service.addresses["main"], engineAddress)
	if err := dev.Apply(context.Background(), p.addresses["operators"], text); err != nil {
		d.t.Fatal(err)
	}
}

func await(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached in %s: %s", limit, what)
		}
	}
}

func ready(p *process) bool {
	resp, err := http.Get("http://" + p.addresses["admin"] + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// reply is the answer to a payout. replayed reports whether it is the stored answer of
// an earlier call with the same key.
type reply struct {
	status   int
	body     string
	replayed bool
	err      error
}

// sendPayout sends a payout under an idempotency key to the instance p.
func sendPayout(p *process, key, body string) (r reply) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.addresses["callers"]+"/pay", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+dev.MemberKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(raw), replayed: resp.Header.Get("Idempotent-Replayed") != ""}
}

// runs returns how often the service ran a payout. It asks by calling the service
// directly and does not count that run.
func (d *deployment) runs(body string) int {
	resp, err := http.Post("http://"+d.service.addresses["main"]+"/pay", "", bytes.NewReader([]byte(body)))
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct{ Runs int }
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		d.t.Fatal(err)
	}
	return out.Runs - 1
}

// TestAtMostOnceAcrossKill guards against a second run of a payout when its instance
// is killed during the call and the caller retries at another instance.
func TestAtMostOnceAcrossKill(t *testing.T) {
	t.Parallel()
	d := deploy(t, "400ms")
	other := d.startInstance()
	d.apply(other, "127.0.0.1:1", "")
	for i, moment := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 200 * time.Millisecond} {
		first := d.startInstance()
		await(t, startLimit, "ready", func() bool { return ready(first) && ready(other) })
		key, body := fmt.Sprintf("k%d", i), fmt.Sprintf(`{"lot":%d}`, i)
		answered := make(chan reply, 1)
		go func() { answered <- sendPayout(first, key, body) }()
		time.Sleep(moment)
		first.kill()
		r := sendPayout(other, key, body)
		runs := d.runs(body)
		t.Logf("killed after %s: first %+v, second %d %s, %d runs", moment, <-answered, r.status, strings.TrimSpace(r.body), runs)
		if runs > 1 {
			t.Errorf("killed after %s: the payout ran %d times", moment, runs)
		}
		if strings.Contains(r.body, "not_run") || r.status == http.StatusOK && runs != 1 {
			t.Errorf("killed after %s: wrong answer %d %s with %d runs", moment, r.status, r.body, runs)
		}
	}
}

// TestSameKeyAtTwoInstances guards against a second run when the same payout arrives
// at two instances at the same time.
func TestSameKeyAtTwoInstances(t *testing.T) {
	t.Parallel()
	d := deploy(t, "200ms")
	instances := []*process{d.startInstance(), d.startInstance()}
	d.apply(instances[0], "127.0.0.1:1", "")
	await(t, startLimit, "ready", func() bool { return ready(instances[0]) && ready(instances[1]) })
	var group sync.WaitGroup
	replies := make([]reply, 6)
	for i := range replies {
		group.Add(1)
		go func() {
			defer group.Done()
			replies[i] = sendPayout(instances[i%2], "k", `{"lot":7}`)
		}()
	}
	group.Wait()
	for _, r := range replies {
		if r.status != http.StatusOK || r.body != replies[0].body {
			t.Errorf("%+v differs from %+v", r, replies[0])
		}
	}
	if runs := d.runs(`{"lot":7}`); runs != 1 {
		t.Errorf("the payout ran %d times", runs)
	}
}

// read decodes the value of a key of the platform's store into out and reports whether
// this succeeded.
func (d *deployment) read(key string, out any) bool {
	entry, err := d.store.Get(context.Background(), key)
	return err == nil && json.Unmarshal(entry.Value, out) == nil
}

// TestTakeoverAcrossFreeze guards against two order holders at once after one was
// frozen. Its successor must have a higher fencing number, and the old holder must
// have no effect when it resumes, even on an engine that ignores fencing numbers.
func TestTakeoverAcrossFreeze(t *testing.T) {
	t.Parallel()
	d := deploy(t, "0s")
	e := engine.New(engine.Config{Incarnation: "e1", Orders: &engine.Orders{Model: "m", IgnoresFencing: true, ChangeTime: 100 * time.Millisecond}})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	instances := map[string]*process{"i1": d.startInstance()}
	d.apply(instances["i1"], address, "")
	var fence lease.Fence
	await(t, startLimit, "first holder", func() bool { return d.read("fence/orders/dc", &fence) && fence.Number == 1 })
	instances["i2"] = d.startInstance()
	await(t, startLimit, "ready", func() bool { return ready(instances["i2"]) })

	instances["i1"].signal(syscall.SIGSTOP)
	frozen := time.Now()
	var holder lease.Holder
	await(t, 40*time.Second, "takeover", func() bool {
		return d.read("lease/orders/dc", &holder) && holder.Instance == "i2" && d.read("fence/orders/dc", &fence) && fence.Number == 2
	})
	t.Logf("taken over %s after the freeze", time.Since(frozen).Round(100*time.Millisecond))

	d.apply(instances["i2"], address, "charms")
	await(t, 30*time.Second, "order of the successor", func() bool { return e.State().Adapter == "charms" })
	instances["i1"].signal(syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	var record order.Record
	if !d.read("order/e", &record) || record.Fence != 2 || record.Open() {
		t.Errorf("record %+v", record)
	}
	if got := e.StartedOrders(); len(got) != 1 || got[0] != "e/2/1" {
		t.Errorf("executed %v", got)
	}
	if d.read("fence/orders/dc", &fence); fence.Number != 2 {
		t.Errorf("fencing number %d after the old holder resumed", fence.Number)
	}
}
