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

// BackendHandler serves a backend over HTTP. If the backend returns an error, the
// handler closes the connection without a response, like a crashed backend.
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
			panic(http.ErrAbortHandler) // closes the connection
		}
		defer func() { _ = reply.Body.Close() }()
		writeReply(w, reply)
	})
}

// writeReply copies a reply to the response and flushes each piece, so that streams
// arrive without delay.
func writeReply(w http.ResponseWriter, reply *outside.Reply) {
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
			_ = flusher.Flush() // if the client has disconnected, the next write fails
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// PlatformHandler serves the log and the VM list over HTTP.
func PlatformHandler(log *Log, vms *VMList) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+outside.PathAppend, func(w http.ResponseWriter, r *http.Request) {
		var req outside.AppendRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		offset, err := log.Append(r.Context(), req.Records)
		writeJSON(w, outside.AppendReply{Offset: offset}, err)
	})
	mux.HandleFunc("GET "+outside.PathRead, func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
		max, _ := strconv.Atoi(r.FormValue("max"))
		waitMs, _ := strconv.Atoi(r.FormValue("wait_ms"))
		page, err := log.Read(r.Context(), from, max, time.Duration(waitMs)*time.Millisecond)
		writeJSON(w, outside.ReadReply(page), err)
	})
	mux.HandleFunc("GET "+outside.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		serveVMs(w, r, vms)
	})
	return mux
}

// serveVMs responds with the list, or with 304 if the client's ETag is current.
func serveVMs(w http.ResponseWriter, r *http.Request, vms *VMList) {
	list, err := vms.List(r.Context())
	text, jsonErr := json.Marshal(list)
	if err = errors.Join(err, jsonErr); err != nil {
		writeJSON(w, nil, err)
		return
	}
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(text), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(text) // fails only if the client has disconnected
}

// writeJSON responds with v as JSON, or with the status for err.
func writeJSON(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, outside.ErrTrimmed):
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(v) // contains the oldest offset
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
	}
}
