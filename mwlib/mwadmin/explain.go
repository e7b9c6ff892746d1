package mwadmin

import (
	"fmt"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
)

// explain answers q from the current state of the node of k.
func explain(k *mwkernel.Kernel, q ExplainRequest) Explanation {
	c := &mwcall.Call{
		Root: mwid.NewRootID(), Caller: q.Caller, Service: q.Service,
		Method: q.Method, Path: q.Path, Host: q.Host,
	}
	s, err := k.Classify(c)
	if err != nil {
		return Explanation{Version: s.Version(), Code: mwcode.CodeOf(err), Reason: err.Error()}
	}
	v := Explanation{
		Version: c.Class.Version, Service: c.Service, Verdict: c.Class.Verdict, Priority: c.Class.Priority,
		CallerLabels: s.CallerLabels(q.Caller), RequestLabels: s.RequestLabels(c.Request()),
		Targets: k.Targets(c.Service), Share: c.Class.Ceiling,
	}
	if isAnnounced(k, c.Service) {
		l := k.Admission().Load(c.Service)
		v.Load = &l
	}
	v.Code, v.Reason = checkAdmission(k, v)
	v.Admitted = v.Code == mwcode.OK
	return v
}

func isAnnounced(k *mwkernel.Kernel, s mwid.ServiceName) bool {
	for _, a := range k.Announced() {
		if a.Service == s {
			return true
		}
	}
	return false
}

// checkAdmission returns the code with which the node would admit or refuse the
// call now, and the reason.
func checkAdmission(k *mwkernel.Kernel, v Explanation) (mwcode.Code, string) {
	usable := 0
	for _, t := range v.Targets {
		if t.State != mwcall.Leaving {
			usable++
		}
	}
	switch {
	case usable == 0:
		return mwcode.NoTarget, "no target of the service is known and takes work"
	case v.Load == nil:
		return mwcode.OK, fmt.Sprintf("would be sent to one of %d targets, whose node decides", usable)
	case k.Draining():
		return mwcode.Draining, "this node is draining"
	case v.Priority < v.Load.Threshold:
		return mwcode.Overloaded, fmt.Sprintf("priority %d is below the threshold %d here",
			v.Priority, v.Load.Threshold)
	}
	return mwcode.OK, "above the threshold here"
}
