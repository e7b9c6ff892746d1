package mwcheck_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwsoak/internal/mwcheck"
)

func TestPromises(t *testing.T) {
	now := time.Now()
	bounds := mwcheck.Bounds{Drain: 2 * time.Second, Contact: 3 * time.Second, Apply: 2 * time.Second, Settle: 5 * time.Second}
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
		{"an older configuration just before the limit", func(k *mwcheck.Checker) {
			k.ChangeAcked(2, now)
			k.InForce(inc, 1, now.Add(bounds.Apply))
			k.NotInForce(inc, 2, now.Add(bounds.Apply))
		}, nil},
		{"an older configuration after the limit", func(k *mwcheck.Checker) {
			k.ChangeAcked(2, now)
			k.InForce(inc, 1, now.Add(bounds.Apply+time.Millisecond))
		}, []mwcheck.Promise{mwcheck.Current}},
		{"a route that is missing after the limit", func(k *mwcheck.Checker) {
			k.ChangeAcked(2, now)
			k.NotInForce(inc, 2, now.Add(bounds.Apply+time.Millisecond))
		}, []mwcheck.Promise{mwcheck.Current}},
		{"the last but one configuration, shortly after a change", func(k *mwcheck.Checker) {
			k.ChangeAcked(2, now)
			k.ChangeAcked(3, now.Add(bounds.Apply))
			k.InForce(inc, 2, now.Add(bounds.Apply+time.Millisecond))
			k.NotInForce(inc, 3, now.Add(bounds.Apply+time.Millisecond))
		}, nil},
		{"the last but two configuration, shortly after a change", func(k *mwcheck.Checker) {
			k.ChangeAcked(2, now)
			k.ChangeAcked(3, now.Add(bounds.Apply))
			k.InForce(inc, 1, now.Add(bounds.Apply+time.Millisecond))
		}, []mwcheck.Promise{mwcheck.Current}},
		{"an older configuration during a fault", func(k *mwcheck.Checker) {
			k.ChangeAcked(2, now)
			k.Fault()
			k.InForce(inc, 1, now.Add(bounds.Settle))
		}, nil},
		{"an older configuration, soon after a fault", func(k *mwcheck.Checker) {
			k.ChangeAcked(2, now)
			k.Fault()()
			k.InForce(inc, 1, time.Now().Add(bounds.Settle-time.Second))
		}, nil},
		{"an older configuration, long after a fault", func(k *mwcheck.Checker) {
			k.ChangeAcked(2, now)
			k.Fault()()
			k.InForce(inc, 1, time.Now().Add(bounds.Settle))
		}, []mwcheck.Promise{mwcheck.Current}},
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
