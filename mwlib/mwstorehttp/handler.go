package mwstorehttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwstore"
)

// NewHandler returns a handler that serves s. Where an outcome is not known
// it closes the connection without an answer.
func NewHandler(s mwstore.Store) *http.ServeMux {
	mux := http.NewServeMux()
	handle(mux, getPath, func(ctx context.Context, m keyMessage) (mwstore.Row, error) {
		return s.Get(ctx, m.Key)
	})
	handle(mux, scanPath, func(ctx context.Context, m scanMessage) (rowsMessage, error) {
		rows, err := s.Scan(ctx, m.Prefix, m.After, m.Limit)
		return rowsMessage{rows}, err
	})
	handle(mux, commitPath, s.Commit)
	handle(mux, putObjectPath, func(ctx context.Context, m objectMessage) (emptyMessage, error) {
		return emptyMessage{}, s.PutObject(ctx, m.Key, m.Value)
	})
	handle(mux, getObjectPath, func(ctx context.Context, m keyMessage) (objectMessage, error) {
		b, err := s.GetObject(ctx, m.Key)
		return objectMessage{m.Key, b}, err
	})
	return mux
}

// loseMessage asks to lose the answers of the next writes.
type loseMessage struct {
	Commits int
	Puts    int
}

// NewFakeHandler returns a handler that serves s and lets a client switch
// the faults of s.
func NewFakeHandler(s *mwfakestore.Store) *http.ServeMux {
	mux := NewHandler(s)
	handle(mux, "PUT "+faultsPath, func(_ context.Context, f mwfakestore.Faults) (mwfakestore.Faults, error) {
		s.SetFaults(f)
		return f, nil
	})
	handle(mux, losePath, func(_ context.Context, m loseMessage) (emptyMessage, error) {
		s.Lose(mwfakestore.Commit, m.Commits)
		s.Lose(mwfakestore.Put, m.Puts)
		return emptyMessage{}, nil
	})
	mux.HandleFunc("GET "+faultsPath, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("GET "+usagePath, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, s.Usage())
	})
	return mux
}

// handle serves pattern by f; a pattern without a method is for POST.
func handle[Q, A any](mux *http.ServeMux, pattern string, f func(context.Context, Q) (A, error)) {
	if pattern[0] == '/' {
		pattern = "POST " + pattern
	}
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var q Q
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
		d.DisallowUnknownFields()
		if err := d.Decode(&q); err != nil {
			refuse(w, mwcode.New(mwcode.BadDocument, mwcode.Wrap(err)))
			return
		}
		a, err := f(r.Context(), q)
		if err != nil {
			refuse(w, err)
			return
		}
		answer(w, http.StatusOK, a)
	})
}

// refuse answers with the code of err, or not at all where the outcome is
// not known.
func refuse(w http.ResponseWriter, err error) {
	c := mwcode.Of(err)
	if c == mwcode.StoreUnknown {
		panic(http.ErrAbortHandler)
	}
	m := errorMessage{Code: c, Name: c.String()}
	var e *mwcode.Error
	if errors.As(err, &e) {
		m.Field = e.Field
	}
	answer(w, statusOf(c), m)
}

func answer[A any](w http.ResponseWriter, status int, a A) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // The client sees a cut answer.
}
