package feed

import (
	"net/http"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
)

// sinceParam is the query parameter with the caller's revision in pulls of incremental feeds.
const sinceParam = "since"

// Handler returns the handler of pulls from other routers.
func (s *Set) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, f := range s.feeds {
		mux.HandleFunc("GET "+f.Spec().path(), func(w http.ResponseWriter, r *http.Request) { serve(f, w, r) })
	}
	return mux
}

func serve(f Feed, w http.ResponseWriter, r *http.Request) {
	ready := f.HasContent()
	if f.Spec().Blocking {
		ready = f.Await(r.Context(), pullTimeout/2)
	}
	if !ready {
		http.Error(w, "no "+f.Spec().Name+" yet", http.StatusServiceUnavailable)
		return
	}
	// Without a valid revision, the whole content is sent.
	since, _ := strconv.ParseUint(r.URL.Query().Get(sinceParam), 10, 64)
	body, err := msgpack.Marshal(f.ContentSince(since))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a caller that has disconnected pulls again
}
