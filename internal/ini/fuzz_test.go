package ini

import (
	"testing"
	"time"
)

// A file contains arbitrary text. Every error must have file, line and text, and without an
// error every decoded value must be within its bounds.
func FuzzParse(f *testing.F) {
	f.Add("[team a]\nweight = 5\nservices = x, y\n")
	f.Add("# c\n[a b c]\n=\nkey\n[]\n[x\n")
	f.Add("[entry]\r\nmax-body = 8MB\r\ndeadline = -1s\n")
	f.Fuzz(func(t *testing.T, text string) {
		sections, errs := Parse("f.ini", text)
		for i := range sections {
			var dst struct {
				Services []string      `ini:"services" required:"true"`
				Deadline time.Duration `ini:"deadline" default:"1s" min:"1ms" max:"1h"`
				Body     Bytes         `ini:"max-body" default:"4MB" max:"7MB"`
				Weight   int           `ini:"weight" min:"1" max:"9"`
				Share    float64       `ini:"share" min:"0" max:"1"`
			}
			errs = append(errs, Decode(&sections[i], &dst)...)
			if errs.Err() == nil && (dst.Deadline < time.Millisecond || dst.Body > 7<<20 || dst.Share > 1) {
				t.Fatalf("value out of bounds without an error: %+v", dst)
			}
		}
		for _, e := range errs {
			if e.File != "f.ini" || e.Line < 1 || e.What == "" {
				t.Fatalf("error without file, line or text: %+v", e)
			}
		}
	})
}
