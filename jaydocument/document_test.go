package jaydocument

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

type pool struct {
	Name string `json:"name"`
	Min  int    `json:"min"`
}

type fleet struct {
	Pools []pool `json:"pools"`
}

func ExampleDecode() {
	var f fleet
	d, err := Decode("fleet.jsonc", []byte("{\n  // the seats\n  \"pools\": [{\"name\": \"seats\", \"min\": -1}],\n}"), &f)
	if err != nil {
		fmt.Println(err)
		return
	}
	d.Add("/pools/0/min", "%d is negative", f.Pools[0].Min)
	fmt.Println(d.Err())
	// Output: fleet.jsonc:3:38: /pools/0/min: -1 is negative
}

func TestAddAbsentValueReportsParent(t *testing.T) {
	is := is.New(t)
	var f fleet
	d, err := Decode("f", []byte("{\"pools\": [\n{\"name\": \"a\"}]}"), &f)
	is.NoErr(err)
	d.Add("/pools/0/min", "is needed")
	is.Equal(d.Err().Error(), "f:2:1: /pools/0/min: is needed")
}
