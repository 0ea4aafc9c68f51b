package jayorg

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func directoryOf(organisations, keys int) *Directory {
	list := make([]Organisation, organisations)
	for n := range list {
		list[n].Name = fmt.Sprintf("organisation-%d", n)
		for k := range keys {
			list[n].Keys = append(list[n].Keys, DigestOf(fmt.Appendf(nil, "key-%d-%d", n, k)))
		}
	}
	return NewDirectory(list)
}

func TestAuthenticate(t *testing.T) {
	d := directoryOf(3, 2)
	t.Run("each key identifies its organisation", func(t *testing.T) {
		is := is.New(t)
		o, known := d.Authenticate([]byte("key-1-1"))
		is.True(known)
		is.Equal(o.Name, "organisation-1")
	})
	t.Run("other keys identify nobody", func(t *testing.T) {
		is := is.New(t)
		for _, key := range []string{"", "key-1-", "key-1-11", "KEY-1-1", "key-3-0"} {
			_, known := d.Authenticate([]byte(key))
			is.True(!known)
		}
	})
	t.Run("a key of two organisations identifies neither", func(t *testing.T) {
		is := is.New(t)
		shared := DigestOf([]byte("shared"))
		both := NewDirectory([]Organisation{{Name: "a", Keys: []Digest{shared}}, {Name: "b", Keys: []Digest{shared}}})
		_, known := both.Authenticate([]byte("shared"))
		is.True(!known)
	})
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, organisations := range []int{20, 10_000} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			d := directoryOf(organisations, 3)
			key := []byte("key-7-2")
			b.ReportAllocs()
			for b.Loop() {
				if _, known := d.Authenticate(key); !known {
					b.Fatal("key-7-2 is unknown")
				}
			}
		})
	}
}
