package mwcheck_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwsoak/internal/mwcheck"
)

func TestPromises(t *testing.T) {
	now := time.Now()
	bounds := mwcheck.Bounds{Drain: 2 * time.Second, Contact: 3 * time.Second}
	inc := mwcheck.Incarnation{Node: 1, Start: 1}
	for _, x := range []struct {
		name string
		do   func(*mwcheck.Checker)
		want []mwcheck.Promise
	}{
		{"an order that runs once", func(k *mwcheck.Checker) {
			k.Ran("a", "i", false, now)
			k.Answered("a", false, mwcheck.Answer{Good: true})
		}, nil},
		{"an order that runs twice", func(k *mwcheck.Checker) {
			k.Ran("a", "i", false, now)
			k.Ran("a", "j", false, now)
		}, []mwcheck.Promise{mwcheck.Once}},
		{"a request that may repeat", func(k *mwcheck.Checker) {
			k.Ran("a", "i", true, now)
			k.Ran("a", "j", true, now)
			k.Answered("a", true, mwcheck.Answer{NotRun: true})
		}, nil},
		{"a refusal after a run", func(k *mwcheck.Checker) {
			k.Ran("a", "i", false, now)
			k.Answered("a", false, mwcheck.Answer{NotRun: true})
		}, []mwcheck.Promise{mwcheck.Refusal}},
		{"a run after a refusal", func(k *mwcheck.Checker) {
			k.Answered("a", false, mwcheck.Answer{NotRun: true})
			k.Ran("a", "i", false, now)
		}, []mwcheck.Promise{mwcheck.Refusal}},
		{"a wrong answer", func(k *mwcheck.Checker) {
			k.Answered("a", true, mwcheck.Answer{Wrong: "cut"})
		}, []mwcheck.Promise{mwcheck.Whole}},
		{"a request just before the drain is over", func(k *mwcheck.Checker) {
			k.LeaveAcked("i", now)
			k.Ran("a", "i", true, now.Add(bounds.Drain))
		}, nil},
		{"a request after the drain", func(k *mwcheck.Checker) {
			k.LeaveAcked("i", now)
			k.Ran("a", "i", true, now.Add(bounds.Drain+time.Millisecond))
		}, []mwcheck.Promise{mwcheck.Drain}},
		{"a request after the drain during a fault", func(k *mwcheck.Checker) {
			k.LeaveAcked("i", now)
			k.Fault()
			k.Ran("a", "i", true, now.Add(bounds.Drain+time.Millisecond))
		}, nil},
		{"a request after the drain, soon after a fault", func(k *mwcheck.Checker) {
			k.LeaveAcked("i", now)
			k.Fault()()
			k.Ran("a", "i", true, time.Now().Add(bounds.Contact-time.Second))
		}, nil},
		{"newer configurations", func(k *mwcheck.Checker) {
			k.InForce(inc, 1, now)
			k.InForce(inc, 3, time.Now())
		}, nil},
		{"an older configuration", func(k *mwcheck.Checker) {
			k.InForce(inc, 3, now)
			k.InForce(inc, 1, time.Now())
		}, []mwcheck.Promise{mwcheck.Forward}},
		{"an older configuration after a restart", func(k *mwcheck.Checker) {
			k.InForce(inc, 3, now)
			k.InForce(mwcheck.Incarnation{Node: 1, Start: 2}, 1, time.Now())
		}, nil},
		{"an older configuration in response to an earlier request", func(k *mwcheck.Checker) {
			k.InForce(inc, 3, now)
			k.InForce(inc, 1, now)
		}, nil},
		{"too few requests served after the faults", func(k *mwcheck.Checker) {
			k.Recovered(10, 100, 0.5)
		}, []mwcheck.Promise{mwcheck.Recovery}},
	} {
		t.Run(x.name, func(t *testing.T) {
			k := mwcheck.New(bounds)
			x.do(k)
			vs, _, _ := k.Result()
			var got []mwcheck.Promise
			for _, v := range vs {
				got = append(got, v.Promise)
			}
			qt.Check(t, got, qt.DeepEquals, x.want)
		})
	}
}
