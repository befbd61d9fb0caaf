package routes

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

func TestLookup(t *testing.T) {
	Convey("Among the routes of a host", t, func() {
		table := Compile(Configuration{Version: 3, Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "B.example", Prefix: "/x/"},
		}})
		for _, c := range []struct{ host, path, want string }{
			{"a.example", "/x/1", "short"},
			{"a.example", "/x/y/1", "long"},
			{"a.example:80", "/x/y", "short"},
			{"A.Example", "/x/", "short"},
			{"b.example", "/x/y/", "other"},
			{"a.example", "/y/", ""},
			{"a.example", "/x", ""},
			{"c.example", "/x/", ""},
		} {
			Convey(c.host+c.path, func() {
				r := table.Lookup(c.host, c.path)
				if c.want == "" {
					So(r, ShouldBeNil)
					return
				}
				So(r.Name, ShouldEqual, c.want)
			})
		}
	})
}

func TestSplit(t *testing.T) {
	Convey("A split route", t, func() {
		r := Route{Name: "r", Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
		counts := map[fleet.GroupName]int{}
		for i := range 10000 {
			id := fleet.RequestID(fmt.Sprint(i))
			service := r.Service(id)
			if again := r.Service(id); again != service {
				t.Fatalf("got service %s, then %s for the same request", service, again)
			}
			counts[service]++
		}
		So(counts["a"], ShouldBeBetween, 8800, 9200)
		So(counts["c"], ShouldEqual, 0)
		So((&Route{}).Service("x"), ShouldBeEmpty)
	})
}

// TestManyRoutes checks a configuration that grows by 400 routes at once: each
// is found, and the earlier routes are found as before.
func TestManyRoutes(t *testing.T) {
	Convey("After 400 routes were added", t, func() {
		c := Configuration{Version: 1, Routes: []Route{{Name: "old", Host: "h", Prefix: "/"}, {Name: "deep", Host: "h", Prefix: "/a/b/"}}}
		for i := range 400 {
			c.Routes = append(c.Routes, Route{Name: fmt.Sprint("new", i), Host: fmt.Sprint("h", i%7), Prefix: fmt.Sprintf("/n%d/", i)})
		}
		table := Compile(c)
		for i := range 400 {
			So(table.Lookup(fmt.Sprint("h", i%7), fmt.Sprintf("/n%d/x", i)).Name, ShouldEqual, fmt.Sprint("new", i))
		}
		So(table.Lookup("h", "/a/b/c").Name, ShouldEqual, "deep")
		So(table.Lookup("h", "/n1/x").Name, ShouldEqual, "old")
		So(table.Lookup("h1", "/n2/x"), ShouldBeNil)
	})
}
