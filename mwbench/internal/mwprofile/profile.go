// Package mwprofile describes the size of a user's system and scales it down to
// one machine.
package mwprofile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"math"
	"strings"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// Name is the name of a profile.
type Name string

// Profile is the size of a user's system.
type Profile struct {
	Name Name
	// Scale is the divisor of slots and connections that makes the system fit
	// on one machine. Targets, zones and times are not scaled.
	Scale mwunit.Ratio
	Zones []Zone
	// Browse, Order, Download and Proof are the services by role.
	Browse   Service
	Order    Service
	Download Service
	Proof    Service
}

// Zone is an availability zone.
type Zone struct {
	Zone   mwid.ZoneName
	Region mwid.RegionName
}

// Service is the size of one service.
type Service struct {
	Service     mwid.ServiceName
	Targets     int
	Slots       mwunit.Slots       // of one target
	Connections mwunit.Connections // of one target
	Time        mwconfig.Duration  // mean service time of short work
}

// Capacity returns the rate of calls that all targets of s can complete if each
// call holds a slot for d.
func (s Service) Capacity(d time.Duration) mwunit.PerSecond {
	return mwunit.PerSecond(float64(s.Targets) * float64(s.Slots) / d.Seconds())
}

// Names returns the names of the profiles in fsys.
func Names(fsys fs.FS) []Name {
	files, err := fs.Glob(fsys, "*.json")
	if err != nil {
		return nil
	}
	ns := make([]Name, len(files))
	for i, f := range files {
		ns[i] = Name(strings.TrimSuffix(f, ".json"))
	}
	return ns
}

// Load reads the profile n from fsys, validates it and scales it.
func Load(fsys fs.FS, n Name) (Profile, error) {
	b, err := fs.ReadFile(fsys, string(n)+".json")
	if err != nil {
		return Profile{}, fmt.Errorf("profile %s: expected one of %q: %w", n, Names(fsys), err)
	}
	var p Profile
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return Profile{}, fmt.Errorf("profile %s: %w", n, err)
	}
	if err := p.check(); err != nil {
		return Profile{}, fmt.Errorf("profile %s: %w", n, err)
	}
	return p.scaled(), nil
}

func (p *Profile) services() []*Service {
	return []*Service{&p.Browse, &p.Order, &p.Download, &p.Proof}
}

func (p *Profile) check() error {
	if p.Scale < 1 {
		return mwcode.New(mwcode.BadValue, mwcode.Field("Scale"), mwcode.Expected("at least 1"))
	}
	if len(p.Zones) == 0 {
		return mwcode.New(mwcode.BadValue, mwcode.Field("Zones"), mwcode.Expected("at least one"))
	}
	for _, s := range p.services() {
		if s.Service == "" || s.Targets < 1 || s.Slots < 1 || s.Connections < 1 || s.Time <= 0 {
			return mwcode.New(mwcode.BadValue, mwcode.Field(string(s.Service)),
				mwcode.Expected("a service, and Targets, Slots, Connections and Time above 0"))
		}
	}
	return nil
}

func (p Profile) scaled() Profile {
	for _, s := range p.services() {
		s.Slots = scaleDown(s.Slots, p.Scale)
		s.Connections = scaleDown(s.Connections, p.Scale)
	}
	return p
}

// scaleDown returns n/by, rounded, but at least 1.
func scaleDown[T ~int](n T, by mwunit.Ratio) T {
	return max(1, T(math.Round(float64(n)/float64(by))))
}
