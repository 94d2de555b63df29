package ini_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/internal/ini"
)

type sample struct {
	Name  string        `ini:"name" required:"true"`
	Addr  string        `ini:"addr" format:"address"`
	Kind  string        `ini:"kind" default:"plain" oneof:"engine plain"`
	Wait  time.Duration `ini:"wait" default:"1s" min:"10ms" max:"1m"`
	Size  ini.Bytes     `ini:"size" default:"4MB" max:"8MB"`
	Share float64       `ini:"share" default:"0.5" min:"0" max:"1"`
	Count int           `ini:"count" min:"1"`
	On    bool          `ini:"on"`
	List  []string      `ini:"list"`
}

func decode(text string) (sample, ini.Errors) {
	var s sample
	sections, errs := ini.Parse("f.ini", text)
	for i := range sections {
		errs = append(errs, ini.Decode(&sections[i], &s)...)
	}
	return s, errs
}

func TestDecodeReadsAllFieldTypes(t *testing.T) {
	g := NewWithT(t)
	s, errs := decode("; comment\n[x one]\n name = a=b \nwait=250ms\nsize = 64KB\non = yes\nlist = a, ,b\ncount=3\naddr=[::1]:80\r\n")
	g.Expect(errs).To(BeEmpty())
	g.Expect(s).To(Equal(sample{
		Name: "a=b", Addr: "[::1]:80", Kind: "plain", Wait: 250 * time.Millisecond, Size: 64 << 10,
		Share: 0.5, Count: 3, On: true, List: []string{"a", "b"},
	}))
}

func TestErrorsNameFileLineKeyAndAllowedValues(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"missing", "[x]\n", "f.ini:1: x.name: missing, and it has no default"},
		{"unknown key", "[x]\nname=a\nnmae=b", "f.ini:3: x.nmae: unknown key, allowed: addr, count"},
		{"unit", "[x]\nname=a\nwait=5", `f.ini:3: x.wait: "5" is not a duration, write for example 250ms`},
		{"out of range", "[x]\nname=a\n\nwait=2m", `f.ini:4: x.wait: "2m" is out of range, max is 1m`},
		{"size", "[x]\nname=a\nsize=9MB", `f.ini:3: x.size: "9MB" is out of range, max is 8MB`},
		{"overflowing size", "[x]\nname=a\nsize=99999999999GB", `is not a size`},
		{"value not in oneof", "[x]\nname=a\nkind=other", `"other" is not allowed, write one of: engine plain`},
		{"host name instead of address", "[x]\nname=a\naddr=localhost:80", "write IP address and port"},
		{"boolean", "[x]\nname=a\non=true", `"true" is not allowed, write yes or no`},
		{"number", "[x]\nname=a\nshare=NaN", `"NaN" is not a number`},
		{"duplicate key", "[x]\nname=a\nname=b", "f.ini:3: x.name: given twice, first on line 2"},
		{"key before the first section", "name=a", `f.ini:1: key "name" is before the first section`},
		{"no closing bracket", "[x", `f.ini:1: section "[x" has no closing bracket`},
		{"no value", "[x]\nname", `f.ini:2: "name": want key = value`},
		{"long line", "[x]\nname=" + strings.Repeat("a", 70<<10), "f.ini:2: line of"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			_, errs := decode(tc.text)
			g.Expect(errs.Err()).To(MatchError(ContainSubstring(tc.want)))
		})
	}
}
