package mwhttp_test

import (
	"net/url"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwhttp"
)

func TestPathOf(t *testing.T) {
	tests := []struct{ raw, want string }{
		{"/order/1", "/order/1"},
		{"/order/templates%2F1", "/order/templates%2F1"},
		{"/order%2ftemplates/1", "/order%2Ftemplates/1"},
		{"/%6Frder/1", "/order/1"},
		{"/order/a%20b%2Fc", "/order/a b%2Fc"},
		{"/order/%252F", "/order/%2F"},
		{"/", "/"},
		{"*", "*"},
	}
	for _, test := range tests {
		t.Run(test.raw, func(t *testing.T) {
			c := qt.New(t)
			u, err := url.ParseRequestURI(test.raw)
			c.Assert(err, qt.IsNil)
			c.Assert(mwhttp.PathOf(u), qt.Equals, test.want)
		})
	}
}
