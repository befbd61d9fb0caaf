package meter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// variable tells a test process to serve stand-ins; its value names them.
const variable = "BRAMLEYWICK_METER_STANDINS"

// StandIns are stand-ins in a process of their own, so that the benchmark's
// processor time and memory are those of the part under test.
type StandIns struct {
	// Addresses are those of the handlers, in their order.
	Addresses []string

	in  io.WriteCloser
	out *bufio.Scanner
}

// Server is one stand-in to serve.
type Server struct {
	http.Handler
	// Prepare may change the server before it starts.
	Prepare func(*http.Server)
}

// Start runs the test named by test of this test program as another process,
// which must call Serve. The process ends with the benchmark.
func Start(b *testing.B, test string, n int) *StandIns {
	cmd := exec.Command(os.Args[0], "-test.run=^"+test+"$")
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", variable, n))
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Wait()
	})
	s := &StandIns{in: in, out: bufio.NewScanner(out)}
	s.Addresses = strings.Fields(s.line(b))
	return s
}

// Read returns the bytes of all stand-ins so far, both directions added, and
// the reads and writes that Serve was told.
func (s *StandIns) Read(b *testing.B) (bytes, reads, writes float64) {
	if _, err := io.WriteString(s.in, "\n"); err != nil {
		b.Fatal(err)
	}
	if _, err := fmt.Sscan(s.line(b), &bytes, &reads, &writes); err != nil {
		b.Fatal(err)
	}
	return bytes, reads, writes
}

func (s *StandIns) line(b *testing.B) string {
	if !s.out.Scan() {
		b.Fatal("the stand-ins have ended")
	}
	return s.out.Text()
}

// Serve serves the stand-ins that create returns for a number of upstreams until
// the process that called Start ends them. In any other process it returns at
// once. counts tells the calls read and written; it may be nil.
func Serve(create func(n int) (servers []Server, counts func() (reads, writes int))) {
	n := 0
	if _, err := fmt.Sscan(os.Getenv(variable), &n); err != nil {
		return
	}
	servers, counts := create(n)
	var traffic Traffic
	var addresses []string
	for _, s := range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return
		}
		server := &http.Server{Handler: s.Handler}
		if s.Prepare != nil {
			s.Prepare(server)
		}
		go func() { _ = server.Serve(traffic.Listener(l)) }()
		addresses = append(addresses, l.Addr().String())
	}
	fmt.Println(strings.Join(addresses, " "))
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		reads, writes := 0, 0
		if counts != nil {
			reads, writes = counts()
		}
		fmt.Println(traffic.Bytes(), reads, writes)
	}
}
