package routing

import "testing"

func TestLookup(t *testing.T) {
	c := (&Config{Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}}).Index()
	rows := []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "deep"},
		{"A.example:80", "/x/1", "x"},
		{"a.example", "/x", "all"},
		{"b.example", "/x/y/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	}
	for _, row := range rows {
		got := ""
		if r := c.Lookup(row.host, row.path); r != nil {
			got = r.Name
		}
		if got != row.want {
			t.Errorf("%s%s: got %q, want %q", row.host, row.path, got, row.want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Services: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 || counts["c"] != 0 {
		t.Errorf("got %v", counts)
	}
}
