package feed

import (
	"net/http"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
)

// sinceParam is the revision that the caller knows of a feed which tells what has changed.
const sinceParam = "since"

// Handler answers the pulls of other routers.
func (s *Set) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, f := range s.feeds {
		mux.HandleFunc("GET "+f.Spec().path(), func(w http.ResponseWriter, r *http.Request) { serve(f, w, r) })
	}
	return mux
}

func serve(f Feed, w http.ResponseWriter, r *http.Request) {
	known := f.HasContent()
	if f.Spec().Blocking {
		known = f.Await(r.Context(), pullTimeout/2)
	}
	if !known {
		http.Error(w, "no "+f.Spec().Name+" yet", http.StatusServiceUnavailable)
		return
	}
	// Without a revision, or with one that is no number, everything is told.
	since, _ := strconv.ParseUint(r.URL.Query().Get(sinceParam), 10, 64)
	body, err := msgpack.Marshal(f.ContentSince(since))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a router that has left asks again
}
