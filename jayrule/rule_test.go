package jayrule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func timeOfDay(clock string) time.Time {
	t, _ := time.Parse("15:04", clock)
	return t
}

func TestFirstMatchDecides(t *testing.T) {
	list := List{
		{Name: "payments", About: AboutRequest, When: When{Path: []string{"/fees/*"}, Method: []string{"POST"}}},
		{Name: "night", About: AboutWave, When: When{Hours: "22:00-05:00"}},
		{Name: "fees", About: AboutRequest, When: When{Path: []string{"/fees/*"}}},
		{Name: "nursing", About: AboutRequest, When: When{Caller: []string{"nursing"}, Header: map[string]string{"X-Term": "2026*"}}},
	}
	cases := []struct {
		subject Subject
		want    string
	}{
		{Subject{Kind: AboutRequest, Path: "/fees/pay", Method: "POST"}, "payments"},
		{Subject{Kind: AboutRequest, Path: "/fees/pay", Method: "GET"}, "fees"},
		{Subject{Kind: AboutRequest, Path: "/feesible", Method: "GET"}, ""},
		{Subject{Kind: AboutRequest, Caller: "nursing", Header: func(string) string { return "2026-2" }}, "nursing"},
		{Subject{Kind: AboutRequest, Caller: "nursing", Header: func(string) string { return "2025-2" }}, ""},
		{Subject{Kind: AboutWave, Time: timeOfDay("23:30")}, "night"},
		{Subject{Kind: AboutWave, Time: timeOfDay("04:59")}, "night"},
		{Subject{Kind: AboutWave, Time: timeOfDay("05:00")}, ""},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %s %s", c.subject.Method, c.subject.Path, c.want), func(t *testing.T) {
			is := is.New(t)
			rule, ok := list.Decide(&c.subject)
			is.Equal(ok, c.want != "")
			if ok {
				is.Equal(rule.Name, c.want)
			}
		})
	}
}

func TestRequestRulePoolState(t *testing.T) {
	is := is.New(t)
	list := List{
		{Name: "browseNot", About: AboutRequest, When: When{Path: []string{"/catalogue/*"}, Pool: []string{"seats"}, PoolState: []string{"broken"}}, Then: Then{Refuse: "later"}},
		{Name: "urgent", About: AboutRequest, When: When{Priority: []string{"urgent"}}, Then: Then{Route: "seats"}},
		{Name: "tight", About: AboutRequest, When: When{PoolState: []string{"tight", "broken"}}, Then: Then{Route: "catalogue"}},
	}
	decide := func(seats, catalogue, priority string) string {
		rule, ok := list.Decide(&Subject{
			Kind: AboutRequest, Path: "/catalogue/1", Priority: priority,
			PoolStateOf: func(pool string) string { return map[string]string{"seats": seats, "catalogue": catalogue}[pool] },
		})
		if !ok {
			return ""
		}
		return rule.Name
	}
	is.Equal(decide("broken", "holds", ""), "browseNot")
	is.Equal(decide("holds", "tight", ""), "tight")
	is.Equal(decide("holds", "holds", ""), "")
	is.Equal(decide("tight", "holds", "urgent"), "urgent")
}

func TestShadowed(t *testing.T) {
	is := is.New(t)
	list := List{
		{Name: "all fees", About: AboutRequest, When: When{Path: []string{"/fees/*"}}},
		{Name: "pay", About: AboutRequest, When: When{Path: []string{"/fees/pay"}, Method: []string{"POST"}}},
		{Name: "seats", About: AboutRequest, When: When{Path: []string{"/seats/*"}}},
		{Name: "waves", About: AboutWave},
	}
	by, shadowed := list.Shadowed(1)
	is.True(shadowed)
	is.Equal(by, "all fees")
	_, shadowed = list.Shadowed(2)
	is.True(!shadowed)
	_, shadowed = list.Shadowed(3) // a different kind
	is.True(!shadowed)
}

func TestActionKindMismatch(t *testing.T) {
	cases := map[string]Rule{
		"route and refuse": {About: AboutRequest, Then: Then{Route: "a", Refuse: "b"}},
		"neither":          {About: AboutRequest},
		"wave that routes": {About: AboutWave, Then: Then{Route: "a"}},
		"share above one":  {About: AboutWave, Then: Then{WaveShare: 1.5}},
		"unknown kind":     {About: "weather"},
		"unknown priority": {About: AboutRequest, Then: Then{Route: "a", Priority: "asap"}},
	}
	for name, rule := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := rule.Action()
			is.New(t).True(err != nil)
		})
	}
}

func ExampleList_Explain() {
	list := List{
		{Name: "payments", About: AboutRequest, When: When{Method: []string{"POST"}}},
		{Name: "reads", About: AboutRequest},
	}
	for _, trace := range list.Explain(&Subject{Kind: AboutRequest, Method: "GET"}) {
		fmt.Println(trace.Rule, trace.Matched, trace.Why)
	}
	// Output:
	// payments false method
	// reads true
}
