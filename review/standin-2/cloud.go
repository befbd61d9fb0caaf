package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"sync"
)

// cloud is a stand-in of the platform's API for duties. It checks no fences.
type cloud struct {
	*record
	address string

	mu sync.Mutex
	// reports are the counts that were accepted first for each window, and broken is
	// the number of reports with other counts.
	reports map[int64]map[string]int64
	broken  int
}

func newCloud(r *record) (*cloud, error) {
	c := &cloud{record: r, reports: map[int64]map[string]int64{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: c}).Serve(l) }()
	return c, nil
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in struct {
		Window int64            `json:"window"`
		Counts map[string]int64 `json:"counts"`
	}
	fence, err := strconv.ParseInt(r.Header.Get(wire["fence"]), 10, 64)
	if err != nil || r.URL.Path != "/usage" || json.Unmarshal(raw, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add("platform: usage of window %d by %s, number %d: %v", in.Window, r.Header.Get(wire["holder"]), fence, in.Counts)
	before, ok := c.reports[in.Window]
	switch {
	case !ok:
		c.reports[in.Window] = in.Counts
	case !reflect.DeepEqual(before, in.Counts):
		c.broken++
		c.add("ONE: two reports for window %d with different counts: %v, then %v", in.Window, before, in.Counts)
	}
}

func (c *cloud) count() (reports, broken int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reports), c.broken
}
