package main

import (
	"time"

	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// settings are the command-line flags, each with an environment variable.
type settings struct {
	Service     mwid.ServiceName   `long:"service" env:"MW_BACKEND_SERVICE" required:"true" description:"service to announce"`
	Node        mwid.Address       `long:"node" env:"MW_BACKEND_NODE" default:"127.0.0.1:7001" description:"local listener of this VM's node, IP:port"`
	Listen      mwid.Address       `long:"listen" env:"MW_BACKEND_LISTEN" default:"127.0.0.1:0" description:"loopback address to listen on, IP:port; port 0 picks a free one"`
	Slots       mwunit.Slots       `long:"slots" env:"MW_BACKEND_SLOTS" default:"16" description:"maximum number of calls that run at the same time"`
	Queue       mwunit.Slots       `long:"queue" env:"MW_BACKEND_QUEUE" default:"64" description:"maximum number of calls that wait for a slot"`
	Connections mwunit.Connections `long:"connections" env:"MW_BACKEND_CONNECTIONS" default:"128" description:"number of connections to announce"`
	Time        time.Duration      `long:"time" env:"MW_BACKEND_TIME" default:"5ms" description:"mean service time, such as 5ms"`
	Jitter      mwunit.Ratio       `long:"jitter" env:"MW_BACKEND_JITTER" default:"0.2" description:"maximum random deviation from the service time, as a fraction of it, 0 to 1"`
	Body        mwunit.Bytes       `long:"body" env:"MW_BACKEND_BODY" default:"200" description:"length of a response body, bytes"`
	Stragglers  mwunit.Ratio       `long:"stragglers" env:"MW_BACKEND_STRAGGLERS" description:"fraction of the calls that take 20 times as long, 0 to 1"`
	Failing     mwunit.Ratio       `long:"failing" env:"MW_BACKEND_FAILING" description:"fraction of the calls that run and fail, 0 to 1"`
	LongTime    time.Duration      `long:"long-time" env:"MW_BACKEND_LONG_TIME" default:"2s" description:"service time of long downloads, under the path /long"`
	LongBody    mwunit.Bytes       `long:"long-body" env:"MW_BACKEND_LONG_BODY" default:"1048576" description:"length of a long download, bytes"`
	Calls       []mwid.ServiceName `long:"calls" env:"MW_BACKEND_CALLS" env-delim:"," description:"service that each call calls through the node; may be repeated, for calls made in sequence"`
	Plain       bool               `long:"plain" env:"MW_BACKEND_PLAIN" description:"refuse with a 503 that does not say whether the call ran"`
	SpellEvery  time.Duration      `long:"spell-every" env:"MW_BACKEND_SPELL_EVERY" description:"mean time between slow periods; 0 means none"`
	SpellFor    time.Duration      `long:"spell-for" env:"MW_BACKEND_SPELL_FOR" default:"2s" description:"mean length of a slow period"`
	SpellFactor mwunit.Ratio       `long:"spell-factor" env:"MW_BACKEND_SPELL_FACTOR" default:"10" description:"factor by which the service time is longer in a slow period"`
	Cold        time.Duration      `long:"cold" env:"MW_BACKEND_COLD" description:"length of the cold start"`
	ColdFactor  mwunit.Ratio       `long:"cold-factor" env:"MW_BACKEND_COLD_FACTOR" default:"5" description:"factor by which the service time is longer at the beginning of the cold start"`
	Lag         time.Duration      `long:"report-lag" env:"MW_BACKEND_REPORT_LAG" description:"age of the load that GET /load reports"`
	Lie         mwunit.Ratio       `long:"report-factor" env:"MW_BACKEND_REPORT_FACTOR" default:"1" description:"factor by which GET /load multiplies the load"`
	Seed        mwfakeserver.Seed  `long:"seed" env:"MW_BACKEND_SEED" default:"1" description:"seed of all random choices"`
	Drain       time.Duration      `long:"drain" env:"MW_BACKEND_DRAIN" default:"60s" description:"maximum wait for calls in flight during shutdown"`
}

// stragglerFactor is how many times longer a straggler runs.
const stragglerFactor = 20

// options returns the settings as options for mwfakeserver.New.
func (f *settings) options() []mwfakeserver.Option {
	return []mwfakeserver.Option{
		mwfakeserver.WithSeed(f.Seed),
		mwfakeserver.WithListen(f.Listen),
		mwfakeserver.WithSlots(f.Slots, f.Queue),
		mwfakeserver.WithConnections(f.Connections),
		mwfakeserver.WithClasses(f.classes()...),
		mwfakeserver.WithColdStart(f.Cold, f.ColdFactor),
		mwfakeserver.WithReporting(mwfakeserver.Reporting{Lag: f.Lag, Factor: f.Lie}),
		mwfakeserver.WithSlowPeriods(mwfakeserver.SlowPeriods{Every: f.SpellEvery, For: f.SpellFor, Factor: f.SpellFactor}),
		f.refusals(),
	}
}

func (f *settings) refusals() mwfakeserver.Option {
	if f.Plain {
		return mwfakeserver.WithoutNotRunHeader()
	}
	return mwfakeserver.WithNotRunHeader()
}

func (f *settings) classes() []mwfakeserver.Class {
	short := mwfakeserver.Class{
		Prefix: "/", Time: f.Time, Jitter: f.Jitter, Body: f.Body,
		Stragglers: f.Stragglers, StragglerFactor: stragglerFactor, Failing: f.Failing,
	}
	for _, s := range f.Calls {
		short.Stages = append(short.Stages, mwfakeserver.Stage{{Service: s, Path: "/"}})
	}
	long := mwfakeserver.Class{
		Prefix: "/long", Time: f.LongTime, Jitter: f.Jitter, Body: f.LongBody, Streamed: true,
	}
	return []mwfakeserver.Class{short, long}
}
