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

// standInsVariable is the environment variable that makes a test process serve
// stand-ins. Its value is the number of upstreams.
const standInsVariable = "BRAMLEYWICK_METER_STANDINS"

// StandIns are stand-ins in a process of their own, so that CPU time and memory of
// the benchmark's process are those of the part under test.
type StandIns struct {
	// Addresses are the addresses of the servers, in the order of create in Serve.
	Addresses []string

	in  io.WriteCloser
	out *bufio.Scanner
}

// Server is one stand-in to serve.
type Server struct {
	http.Handler
	// Prepare changes the server before it starts; it may be nil.
	Prepare func(*http.Server)
}

// Start runs the test with the given name of this test binary in another process.
// The test must call Serve, for which n is the number of upstreams. The process ends
// with the benchmark.
func Start(b *testing.B, test string, n int) *StandIns {
	cmd := exec.Command(os.Args[0], "-test.run=^"+test+"$")
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", standInsVariable, n))
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

// Read returns the bytes of all stand-ins so far, both directions added, and the
// numbers of reads and writes that the counts function of Serve returns.
func (s *StandIns) Read(b *testing.B) (bytes, reads, writes float64) {
	if _, err := io.WriteString(s.in, "\n"); err != nil {
		b.Fatal(err)
	}
	if _, err := fmt.Sscan(s.line(b), &bytes, &reads, &writes); err != nil {
		b.Fatal(err)
	}
	return bytes, reads, writes
}

// line returns the next line of the process's output.
func (s *StandIns) line(b *testing.B) string {
	if !s.out.Scan() {
		b.Fatal("the stand-ins have ended")
	}
	return s.out.Text()
}

// Serve serves the stand-ins that create returns for n upstreams until the process
// that called Start ends. In a process that Start has not started, it returns at
// once. counts returns the numbers of reads and writes so far; it may be nil.
func Serve(create func(n int) (servers []Server, counts func() (reads, writes int))) {
	n := 0
	if _, err := fmt.Sscan(os.Getenv(standInsVariable), &n); err != nil {
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
