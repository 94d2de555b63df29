package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

func init() { cases["multipart"] = multipartCase }

// Requests of the case.
const (
	formRequests   = 40
	formTimeoutMS  = 4000
	formPhotoBytes = 2048
)

// executedBody is a request as a target has run it.
type executedBody struct {
	target, method, uri, contentType string
	body                             []byte
}

// bodyLog holds what targets have run, by request ID.
type bodyLog struct {
	mu   sync.Mutex
	runs map[string][]executedBody
}

func (l *bodyLog) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		request := r.Header.Get("X-Request-Id")
		l.mu.Lock()
		l.runs[request] = append(l.runs[request], executedBody{target: id, method: r.Method, uri: r.RequestURI, contentType: r.Header.Get("Content-Type"), body: body})
		l.mu.Unlock()
		w.Header().Set(names.Seal, "seal-"+id)
		_, _ = io.WriteString(w, "entry written") // fails only if the caller has disconnected
	})
}

// newForm returns a log entry as browsers send it: a photo and some fields.
func newForm(n int) (contentType string, body []byte, err error) {
	var b bytes.Buffer
	w := multipart.NewWriter(&b)
	header := make(textproto.MIMEHeader)
	header.Set("Content-Disposition", `form-data; name="photo"; filename="fridge.jpg"`)
	header.Set("Content-Type", "image/jpeg")
	part, err := w.CreatePart(header)
	if err != nil {
		return "", nil, err
	}
	if _, err := part.Write(bytes.Repeat([]byte{0xff, byte(n)}, formPhotoBytes/2)); err != nil {
		return "", nil, err
	}
	for _, field := range [][2]string{{"fridge", fmt.Sprint(n)}, {"celsius", "3.5"}, {"signed", "yes"}} {
		if err := w.WriteField(field[0], field[1]); err != nil {
			return "", nil, err
		}
	}
	if err := w.Close(); err != nil {
		return "", nil, err
	}
	return w.FormDataContentType(), b.Bytes(), nil
}

// multipartCase sends log entries that are forms and compares each body that a target runs with the
// one that was sent. Without the trouble the same bytes are sent as another content type.
func multipartCase(rec *recorder, dir string, trouble bool) (bool, error) {
	f, err := newFleet(dir, []string{"logbook"}, []standin.Route{
		{Name: "log-entry", Host: callerHost, Prefix: "/lode423/", Kind: standin.KindNonIdempotent, Service: "logbook", TimeoutMS: formTimeoutMS},
	})
	if err != nil {
		return false, err
	}
	log := &bodyLog{runs: make(map[string][]executedBody)}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if err := f.addTarget(id, "logbook", log.handler(id)); err != nil {
			return false, err
		}
	}
	if err := f.start(0); err != nil {
		return false, err
	}
	defer f.stop()
	sent := make(map[string][]byte)
	client := &http.Client{Timeout: formTimeoutMS * time.Millisecond}
	for n := range formRequests {
		contentType, body, err := newForm(n)
		if err != nil {
			return false, err
		}
		if !trouble {
			contentType = "application/octet-stream"
		}
		id := fmt.Sprintf("%016x", n+1)
		sent[id] = body
		status, err := post(client, f.callers, "/lode423/2f", id, contentType, body)
		if err != nil {
			return false, err
		}
		rec.printf("request %s sent, %s, %d bytes, sha256 %.12x; answered %d", id, contentType, len(body), sha256.Sum256(body), status)
	}
	served, changed := 0, 0
	for n := range formRequests {
		id := fmt.Sprintf("%016x", n+1)
		for _, run := range log.runs[id] {
			served++
			isSame := bytes.Equal(run.body, sent[id])
			if !isSame {
				changed++
			}
			rec.printf("request %s run by %s: %s %s, %s, %d bytes, sha256 %.12x, as sent: %t",
				id, run.target, run.method, run.uri, run.contentType, len(run.body), sha256.Sum256(run.body), isSame)
			if changed == 1 && !isSame {
				rec.printf("sent: %.120q ... %.400q", sent[id], sent[id][len(sent[id])-400:])
				rec.printf("run:  %.420q", run.body)
			}
		}
	}
	rec.printf("%d sent, %d run, %d run with another body", formRequests, served, changed)
	if served < formRequests/2 {
		return false, fmt.Errorf("only %d requests were run", served)
	}
	return changed > 0, nil
}

// post sends a request of a caller and returns the status of the answer.
func post(client *http.Client, address, path, id, contentType string, body []byte) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = callerHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(formTimeoutMS))
	req.Header.Set("X-Key", callerKey)
	req.Header.Set("Content-Type", contentType)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
