package mwmemnet

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"reflect"
	"sync"

	"mustardwheel.example/mwlib/mwunit"
)

// codecs holds the idle codecs for one type of message. Each has already carried
// a message, like a connection in use, so that gob's type descriptions do not
// count towards the size of later messages.
type codecs struct {
	mu   sync.Mutex
	idle []*codec
}

// codec is an encoder, and a decoder that reads the encoder's output.
type codec struct {
	buf bytes.Buffer
	enc *gob.Encoder
	dec *gob.Decoder
}

// roundTrip encodes and decodes head and v, which points to a struct. It
// returns the total size of both and a pointer to the copy of v. It panics if a
// message can't be encoded, which is a programming error.
func (s *codecs) roundTrip(head, v any) (mwunit.Bytes, reflect.Value) {
	c := s.take(head, reflect.TypeOf(v))
	defer s.put(c)
	return c.roundTripMessage(head, v)
}

func (s *codecs) take(head any, t reflect.Type) *codec {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.idle); n > 0 {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		return c
	}
	c := &codec{}
	c.enc, c.dec = gob.NewEncoder(&c.buf), gob.NewDecoder(&c.buf)
	c.roundTripMessage(head, reflect.New(t.Elem()).Interface())
	return c
}

func (s *codecs) put(c *codec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, c)
}

func (c *codec) roundTripMessage(head, v any) (mwunit.Bytes, reflect.Value) {
	h, _ := c.roundTripValue(head)
	n, out := c.roundTripValue(v)
	return h + n, out
}

func (c *codec) roundTripValue(v any) (mwunit.Bytes, reflect.Value) {
	if err := c.enc.Encode(v); err != nil {
		panic(fmt.Sprintf("mwmemnet: encode %T: %v", v, err))
	}
	size := mwunit.Bytes(c.buf.Len())
	out := reflect.New(reflect.TypeOf(v).Elem())
	if err := c.dec.Decode(out.Interface()); err != nil {
		panic(fmt.Sprintf("mwmemnet: decode %T: %v", v, err))
	}
	return size, out
}
