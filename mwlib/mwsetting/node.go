// Package mwsetting defines the settings of a node. Each setting is a
// command-line flag, parsed by go-flags, and an environment variable. An INI
// file can set it as well.
package mwsetting

import (
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwunit"
)

// Node holds all settings of a node, in groups.
type Node struct {
	Place   Place   `group:"Place" namespace:"" env-namespace:"MW"`
	Listen  Listen  `group:"Listeners" env-namespace:"MW"`
	Plugins Plugins `group:"Plug-ins" namespace:"use" env-namespace:"MW_USE"`
	Store   Store   `group:"Store" namespace:"store" env-namespace:"MW_STORE"`
	Member  Member  `group:"Membership" namespace:"member" env-namespace:"MW_MEMBER"`
	Admit   Admit   `group:"Admission" namespace:"admit" env-namespace:"MW_ADMIT"`
	Route   Route   `group:"Routing" namespace:"route" env-namespace:"MW_ROUTE"`
	Retry   Retry   `group:"Retries" namespace:"retry" env-namespace:"MW_RETRY"`
	Claim   Claim   `group:"Claims" namespace:"claim" env-namespace:"MW_CLAIM"`
	Relay   Relay   `group:"Relay" namespace:"relay" env-namespace:"MW_RELAY"`
}

// Place holds the location of the node and the resources it has there.
type Place struct {
	Zone   mwid.ZoneName   `long:"zone" env:"ZONE" description:"availability zone of this VM" required:"true"`
	Region mwid.RegionName `long:"region" env:"REGION" description:"region of the availability zone" required:"true"`

	Service mwid.ServiceName `long:"service" env:"SERVICE" description:"service of this VM's backend server; if set, announcements of other services are refused"`

	Memory mwunit.Bytes `long:"memory" env:"MEMORY" description:"memory that the process may use, MB; 0 means unlimited"`

	Descriptors mwunit.Descriptors `long:"descriptors" env:"DESCRIPTORS" description:"descriptors that the process may have open; 0 means the limit of the operating system. Without 200 for files, 0.4 of them are for connections on --entry, 0.2 for those on --local"`
}

// Listen holds the addresses of the listeners, "IP:port" each.
type Listen struct {
	Entry   mwid.Address `long:"entry" env:"ENTRY" default:"127.0.0.1:7000" description:"address for callers, IP:port"`
	Local   mwid.Address `long:"local" env:"LOCAL" default:"127.0.0.1:7001" description:"loopback address for this VM's backend server, IP:port; empty for none"`
	Peer    mwid.Address `long:"peer" env:"PEER" default:"127.0.0.1:7002" description:"address for other nodes, IP:port"`
	Reach   mwid.Address `long:"reach" env:"REACH" description:"address at which other nodes reach --peer, IP:port, if it differs, for example behind NAT"`
	Admin   mwid.Address `long:"admin" env:"ADMIN" default:"127.0.0.1:7003" description:"loopback address for operators: status, metrics, health, IP:port"`
	Control mwid.Address `long:"control" env:"CONTROL" description:"address for announcements by this VM's backend server in the dialect of --use.dialect, IP:port; empty for none"`
	Ready   mwid.Address `long:"ready" env:"READY" description:"address for readiness checks of this node, IP:port; empty for none"`
	Pprof   bool         `long:"pprof" env:"PPROF" description:"serve profiles on the admin listener"`

	CertFile string `long:"tls-cert" env:"TLS_CERT" description:"certificate file, PEM, for the entry listener; empty for plain HTTP"`
	KeyFile  string `long:"tls-key" env:"TLS_KEY" description:"key file, PEM, of --tls-cert"`
}

// PeerAddress returns the address at which other nodes reach this node.
func (l Listen) PeerAddress() mwid.Address {
	if l.Reach != "" {
		return l.Reach
	}
	return l.Peer
}

// Plugins names the plug-in of each extension point.
type Plugins struct {
	Dialect       mwregistry.Name `long:"dialect" env:"DIALECT" default:"headers" description:"headers and statuses that callers and backend servers use"`
	Store         mwregistry.Name `long:"store" env:"STORE" default:"platform" description:"store client"`
	Membership    mwregistry.Name `long:"membership" env:"MEMBERSHIP" default:"gossip" description:"membership protocol"`
	Configuration mwregistry.Name `long:"configuration" env:"CONFIGURATION" default:"fanout" description:"source of the configuration"`
	Source        mwregistry.Name `long:"source" env:"SOURCE" default:"table" description:"where operators write the configuration"`
	Classifier    mwregistry.Name `long:"classifier" env:"CLASSIFIER" default:"history" description:"classifier of calls by length"`
	Admission     mwregistry.Name `long:"admission" env:"ADMISSION" default:"adaptive" description:"admission policy"`
	Router        mwregistry.Name `long:"router" env:"ROUTER" default:"cost" description:"routing policy"`
	Retry         mwregistry.Name `long:"retry" env:"RETRY" default:"chain" description:"retry policy"`
	Ledger        mwregistry.Name `long:"ledger" env:"LEDGER" default:"table" description:"store of claims"`
}

// Store holds the settings of the client of the platform's store.
type Store struct {
	Address mwid.Address  `long:"address" env:"ADDRESS" description:"address of the platform's store, IP:port; empty for none"`
	Timeout time.Duration `long:"timeout" env:"TIMEOUT" default:"2s" description:"maximum wait for one response of the store"`

	Reads  mwunit.PerSecond `long:"reads" env:"READS" default:"100" description:"maximum rate of reads by this node, per second; lowered while the store refuses some"`
	Writes mwunit.PerSecond `long:"writes" env:"WRITES" default:"50" description:"maximum rate of writes by this node, per second; lowered while the store refuses some"`
}

// Member holds the settings of the membership.
type Member struct {
	Join   []mwid.Address `long:"join" env:"JOIN" env-delim:"," description:"peer addresses of known nodes, IP:port"`
	Spread time.Duration  `long:"spread" env:"SPREAD" default:"0s" description:"maximum random delay of the first attempt to find other nodes; for the first start of a whole system, so that not all nodes read the store at once"`
	Period time.Duration  `long:"period" env:"PERIOD" default:"500ms" description:"interval between gossip rounds"`
	Rate   mwunit.Bytes   `long:"rate" env:"RATE" default:"2048" description:"maximum rate of membership updates and exchanges, bytes per second"`
}

// Admit holds the settings of admission.
type Admit struct {
	Queue       mwunit.Slots    `long:"queue" env:"QUEUE" default:"256" description:"maximum number of waiting calls per service and lane"`
	Wait        time.Duration   `long:"wait" env:"WAIT" default:"50ms" description:"time within which waiting calls should start; limits the number of waiting calls below --admit.queue"`
	Limiter     mwregistry.Name `long:"limiter" env:"LIMITER" default:"gradient" description:"how the limit of calls in flight is set: gradient (from latency), aimd (from queue time) or slots (from the announced slots)"`
	SlotShare   mwunit.Ratio    `long:"slot-share" env:"SLOT_SHARE" default:"0.95" description:"fraction of the announced slots that the limiter slots uses, 0 to 1: some backend servers slow down for all work while their last slots are in use"`
	MediumShare mwunit.Ratio    `long:"medium-share" env:"MEDIUM_SHARE" default:"0.7" description:"maximum fraction of the slots that medium and long work hold together, 0 to 1"`
	LongShare   mwunit.Ratio    `long:"long-share" env:"LONG_SHARE" default:"0.4" description:"maximum fraction of the slots that long work holds, 0 to 1"`
	MediumAfter time.Duration   `long:"medium-after" env:"MEDIUM_AFTER" default:"200ms" description:"duration from which work counts as medium"`
	LongAfter   time.Duration   `long:"long-after" env:"LONG_AFTER" default:"1s" description:"duration from which work counts as long"`
}

// Route holds the settings of routing.
type Route struct {
	EjectRatio mwunit.Ratio  `long:"eject-ratio" env:"EJECT_RATIO" default:"0.34" description:"maximum fraction of a service's targets that is ejected at a time, 0 to 1"`
	FarRatio   mwunit.Ratio  `long:"far-ratio" env:"FAR_RATIO" default:"0.3" description:"calls of a service that may spill to another region for each call to a near target, while near targets are only busy, 0 to 1"`
	SlowFactor mwunit.Ratio  `long:"slow-factor" env:"SLOW_FACTOR" default:"3" description:"a target is slow if its latency exceeds the median of its service times this factor, at least 1"`
	Warmup     time.Duration `long:"warmup" env:"WARMUP" default:"10s" description:"time over which a new target's share of the calls grows to its full share"`
}

// Retry holds the settings of retries.
type Retry struct {
	TokenRatio    mwunit.Ratio    `long:"token-ratio" env:"TOKEN_RATIO" default:"0.1" description:"retries earned by each success, per target service"`
	TokenReserve  mwunit.Attempts `long:"token-reserve" env:"TOKEN_RESERVE" default:"10" description:"maximum number of retries that the successes of a target service can accumulate"`
	CallerReserve mwunit.Attempts `long:"caller-reserve" env:"CALLER_RESERVE" default:"10" description:"maximum number of resubmissions that the first calls of a caller can accumulate"`
	Chain         mwunit.Attempts `long:"chain" env:"CHAIN" default:"8" description:"retries of a whole request, for all calls below it, if the policy is window"`
	Window        time.Duration   `long:"window" env:"WINDOW" default:"10s" description:"length of the time window over which the policy window counts"`
	WindowRatio   mwunit.Ratio    `long:"window-ratio" env:"WINDOW_RATIO" default:"0.2" description:"retries that all nodes together may make in a time window, as a fraction of the first attempts, if the policy is window"`
	WindowShare   mwunit.Ratio    `long:"window-share" env:"WINDOW_SHARE" default:"0.6" description:"fraction of --retry.window-ratio that each node applies, 0 to 1; below 1 because each node counts from its own best time window, and these windows differ between nodes"`
	Hedge         bool            `long:"hedge" env:"HEDGE" description:"hedge short repeatable calls"`
}

// Claim holds the settings of claims, which prevent work that must not be
// repeated from running twice.
type Claim struct {
	KeyRequired bool `long:"key-required" env:"KEY_REQUIRED" description:"refuse work that must not repeat and has no key; if not set, such work is never retried, so it runs at most once"`
	RunFirst    bool `long:"run-first" env:"RUN_FIRST" description:"while the table is unavailable, run calls that the caller declares as its first attempt"`

	Window  time.Duration `long:"window" env:"WINDOW" default:"5ms" description:"minimum time that a claim waits for others to share a transaction; it grows while the store is busy"`
	Batch   int           `long:"batch" env:"BATCH" default:"256" description:"maximum number of claims in one transaction"`
	Lanes   int           `long:"lanes" env:"LANES" default:"1" description:"claim transactions that a node has in flight at a time"`
	Writers int           `long:"writers" env:"WRITERS" default:"2" description:"nodes of each availability zone that write the claims of the whole zone; if 0, each node writes its own"`

	Inline mwunit.Bytes `long:"inline" env:"INLINE" default:"4096" description:"maximum size of an answer kept in the table, bytes; larger ones go to the object store"`
}

// ExitTime is the part of Relay.Grace that is left for the exit of a process after
// its drain: for the messages to other nodes and the last log lines.
const ExitTime = 800 * time.Millisecond

// DrainTime returns the maximum wait for calls in flight at shutdown.
func (r Relay) DrainTime() time.Duration {
	if r.Grace == 0 {
		return r.Drain
	}
	return min(r.Drain, r.Grace-ExitTime)
}

// Relay holds the limits on the resources of one call.
type Relay struct {
	Buffer      mwunit.Bytes  `long:"buffer" env:"BUFFER" default:"65536" description:"maximum size of a request body held for a retry, bytes"`
	HeaderBytes mwunit.Bytes  `long:"header-bytes" env:"HEADER_BYTES" default:"65536" description:"maximum header size, bytes"`
	Idle        time.Duration `long:"idle" env:"IDLE" default:"10s" description:"maximum silence of a connection with a call on it"`
	Margin      time.Duration `long:"margin" env:"MARGIN" default:"0s" description:"time deducted from the deadline given to the backend server, so that its own answer at the end of its time still arrives"`
	Grace       time.Duration `long:"grace" env:"GRACE" default:"0s" description:"time after SIGTERM at which the platform kills the process; the drain ends soon enough for the process to exit by itself; 0s if unknown"`
	Drain       time.Duration `long:"drain" env:"DRAIN" default:"60s" description:"maximum wait for calls in flight at shutdown"`
}
