package mwclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwstore"
)

// Prefixes of the keys that claims use in the table and the object store.
const (
	rowPrefix    mwstore.Key = "Claim/"
	answerPrefix mwstore.Key = "ClaimAnswer/"
)

// State is what is known about a claimed call.
type State string

// States of a claim.
const (
	// Claimed means that the claimant may run the call, or may have run it.
	Claimed State = "Claimed"
	// NotRun means that the claimant did not run the call and never will.
	NotRun State = "NotRun"
	// Done means that the claimant ran the call and stored its answer.
	Done State = "Done"
)

// ClaimantID identifies one claimant, which is one call of Ledger.Claim. It
// differs from the attempt's ID because the message that carries an attempt may
// arrive twice.
type ClaimantID string

// Digest is a hexadecimal SHA-256 checksum.
type Digest string

// Record is the row of one key.
type Record struct {
	Claimant ClaimantID
	Attempt  mwid.AttemptID
	Node     mwid.NodeID
	State    State
	// Call is the digest of the service, method and path that the key
	// belongs to.
	Call Digest
	// At is when the claimant wrote the row, by its own clock. It is meant for
	// operators and for the deletion of old rows; no claim depends on it.
	At time.Time
	// Answer is the stored answer in state Done, if it is small.
	Answer mwcall.EncodedAnswer `json:",omitempty"`
	// Object is the key of a larger answer, and Digest its expected digest.
	Object mwstore.Key `json:",omitempty"`
	Digest Digest      `json:",omitempty"`
}

// RowKey returns the key of the row for key k of caller n. Each part is
// escaped, so that no two callers share a row.
func RowKey(n mwid.CallerName, k mwid.CallKey) mwstore.Key {
	return rowPrefix + mwstore.Key(url.QueryEscape(string(n))+"/"+url.QueryEscape(string(k)))
}

// callDigest returns the digest of the service, method and path of c.
func callDigest(c *mwcall.Call) Digest {
	s := fmt.Sprintf("%q %q %q", c.Service, c.Method, c.Path)
	return digestOf([]byte(s))
}

func digestOf(b []byte) Digest {
	sum := sha256.Sum256(b)
	return Digest(hex.EncodeToString(sum[:]))
}

// encode returns r as the value of a row.
func (r Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // Every field of a Record can be encoded.
	}
	return b
}

// DecodeRecord decodes the value of a row. Its error has the code
// mwcode.BadDocument.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, mwcode.New(mwcode.BadDocument, mwcode.Wrap(err))
	}
	switch r.State {
	case Claimed, NotRun, Done:
		return r, nil
	}
	return Record{}, mwcode.New(mwcode.BadDocument, mwcode.Field("State"))
}
