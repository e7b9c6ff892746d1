package main

import (
	"os"
	"time"

	"mustardwheel.example/mwlib/mwadmin"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
)

// global are the options of all commands.
type global struct {
	Store    mwid.Address      `long:"store" env:"MW_STORE_ADDRESS" default:"127.0.0.1:7900" description:"address of the platform's store, IP:port"`
	Nodes    []mwid.Address    `long:"node" env:"MW_NODE" env-delim:"," default:"127.0.0.1:7003" description:"admin address of a node, IP:port; may be repeated"`
	Operator mwid.OperatorName `long:"operator" env:"MW_OPERATOR" description:"name of the operator who makes a change; the user's name by default"`
	Output   string            `long:"output" env:"MW_OUTPUT" choice:"table" choice:"json" default:"table" description:"output format"`
	Timeout  time.Duration     `long:"timeout" env:"MW_TIMEOUT" default:"10s" description:"timeout of the whole command"`
	Version  bool              `long:"version" description:"print the version and exit"`
}

// operator returns the name of the operator who makes a change: --operator, or
// the user's name by default.
func (g *global) operator() (mwid.OperatorName, error) {
	if g.Operator != "" {
		return g.Operator, nil
	}
	if u := os.Getenv("USER"); u != "" {
		return mwid.OperatorName(u), nil
	}
	return "", mwcode.New(mwcode.BadCommand, mwcode.Field("--operator"),
		mwcode.Expected("the name of the operator who makes the change"))
}

// node returns a client for the admin address of the first node.
func (g *global) node() *mwadmin.Client { return mwadmin.NewClient(g.Nodes[0]) }
