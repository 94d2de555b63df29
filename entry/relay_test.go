package entry_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// The HTTP library encoded forms anew and decompressed bodies before a service got them.
func TestServicesReceiveBodiesAsCallersSentThem(t *testing.T) {
	f, addr, _ := startSmall(t)
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := io.WriteString(w, "text")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(w.Close()).To(Succeed())
	form := "--b\r\nContent-Disposition: form-data; name=\"z\"\r\nContent-Type: application/json\r\n\r\n{}\r\n" +
		"--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n1\r\n--b--\r\nepilogue"
	for _, tc := range []struct {
		name, body string
		headers    []string
	}{
		{"form", form, []string{"Content-Type", "multipart/form-data; boundary=b"}},
		{"form without parts", "no parts", []string{"Content-Type", "multipart/form-data; boundary=b"}},
		{"urlencoded form", "b=2&a=%31", []string{"Content-Type", "application/x-www-form-urlencoded"}},
		{"compressed", compressed.String(), []string{"Content-Encoding", "gzip"}},
		{"not what its encoding says", "plain", []string{"Content-Encoding", "gzip"}},
		{"unknown encoding", "plain", []string{"Content-Encoding", "own"}},
		{"no type", "plain", nil},
		{"empty", "", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			resp, err := http.DefaultClient.Do(newRequest(t, "POST", addr, "/v1/services/logbook/x", tc.body, tc.headers...))
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			runs := f.Plains["logbook-01"].Runs()
			g.Expect(runs[len(runs)-1].Body).To(Equal(tc.body))
		})
	}
}

// A library that cleans paths or queries would make a service run another request than the caller's.
func TestServicesReceivePathsAsCallersSentThem(t *testing.T) {
	_, addr, _ := startSmall(t)
	for _, path := range []string{"/a", "//a", "/a/../b", "/a/./b/", "/a%2Fb", "/A%20b+c", "/a?x=%20&&y=+/../", "/a?", "/%7Ea"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			req := newRequest(t, "POST", addr, "/", "")
			req.URL.Opaque = "/v1/services/logbook" + path
			resp, err := http.DefaultClient.Do(req)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			var answer struct{ Path string }
			g.Expect(json.NewDecoder(resp.Body).Decode(&answer)).To(Succeed())
			g.Expect(answer.Path).To(Equal(path))
		})
	}
}
