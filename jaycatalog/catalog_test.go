package jaycatalog

import (
	"testing"

	"github.com/matryer/is"
)

func TestMatchLongestPrefix(t *testing.T) {
	c := New(3, Limits{}, []Pool{{Name: "seats"}, {Name: "off", Standby: true}, {Name: "fees"}}, []Queue{
		{Name: "short", Host: "a", Prefix: "/x/", Pool: "seats"},
		{Name: "long", Host: "a", Prefix: "/x/y/", Pool: "fees"},
		{Name: "other", Host: "b", Prefix: "/x/", Pool: "fees"},
	})
	cases := []struct {
		host, path, queue, rest string
	}{
		{"a", "/x/1", "short", "1"},
		{"a", "/x/y/2", "long", "2"},
		{"a", "/x/", "short", ""},
		{"b", "/x/y/2", "other", "y/2"},
		{"a", "/z/1", "", ""},
		{"c", "/x/1", "", ""},
	}
	for _, one := range cases {
		t.Run(one.host+one.path, func(t *testing.T) {
			is := is.New(t)
			queue, rest, found := c.Match(one.host, one.path)
			is.Equal(found, one.queue != "")
			is.Equal(queue.Name, one.queue)
			is.Equal(rest, one.rest)
		})
	}
	is := is.New(t)
	is.Equal(c.WorkingPools(), []string{"fees", "seats"})
	is.Equal(c.StandbyPools(), []string{"off"})
}
