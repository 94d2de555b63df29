package fake

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/outside"
)

// BackendHandler serves a backend over HTTP.
func BackendHandler(b outside.Backend) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		call := &outside.Call{Method: r.Method, Path: r.URL.RequestURI(), Body: body}
		for name := range r.Header {
			call.Headers = append(call.Headers, [2]string{name, r.Header.Get(name)})
		}
		reply, err := b.Run(r.Context(), call)
		if err != nil {
			panic(http.ErrAbortHandler) // a dead backend cuts its connections
		}
		defer func() { _ = reply.Body.Close() }()
		relay(w, reply)
	})
}

func relay(w http.ResponseWriter, reply *outside.Reply) {
	for _, h := range reply.Headers {
		w.Header().Set(h[0], h[1])
	}
	w.WriteHeader(reply.Status)
	flusher := http.NewResponseController(w)
	buf := make([]byte, 4<<10)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return
			}
			_ = flusher.Flush() // a client that left shows at the next write
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// PlatformHandler serves the log and the VM list.
func PlatformHandler(log *Log, vms *VMList) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+outside.PathAppend, func(w http.ResponseWriter, r *http.Request) {
		var req outside.AppendRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		offset, err := log.Append(r.Context(), req.Records)
		answer(w, outside.AppendReply{Offset: offset}, err)
	})
	mux.HandleFunc("GET "+outside.PathRead, func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
		max, _ := strconv.Atoi(r.FormValue("max"))
		waitMs, _ := strconv.Atoi(r.FormValue("wait_ms"))
		page, err := log.Read(r.Context(), from, max, time.Duration(waitMs)*time.Millisecond)
		answer(w, outside.ReadReply(page), err)
	})
	mux.HandleFunc("GET "+outside.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		serveVMs(w, r, vms)
	})
	return mux
}

// serveVMs answers with the list, or with 304 if the client holds it already.
func serveVMs(w http.ResponseWriter, r *http.Request, vms *VMList) {
	list, err := vms.List(r.Context())
	text, jsonErr := json.Marshal(list)
	if err = errors.Join(err, jsonErr); err != nil {
		answer(w, nil, err)
		return
	}
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(text), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(text) // a client that left needs no answer
}

func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, outside.ErrTrimmed):
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(v) // says which offset is the oldest
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(w).Encode(v) // a client that left needs no answer
	}
}
