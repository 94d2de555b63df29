package ini

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Decode sets the fields of the struct that dst points to from a section and returns
// all faults. Struct tags:
//
//	ini:"key"          name of the key; fields without this tag are skipped
//	default:"value"    value if the key is absent
//	required:"true"    the key must be present
//	oneof:"a b"        allowed values
//	min:"1" max:"9"    inclusive bounds, in the notation of the field's type
//	format:"address"   IP address and port
//	doc:"…"            description for docs/SETTINGS.md
//
// Types: string, bool, int, int64, float64, time.Duration, Bytes, []string (separated by
// commas).
func Decode(sec *Section, dst any) Errors {
	d := decoder{sec: sec}
	v := reflect.ValueOf(dst).Elem()
	known := make(map[string]bool)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := field.Tag.Get("ini")
		if name == "" {
			continue
		}
		known[name] = true
		d.decodeField(name, field, v.Field(i))
	}
	for _, k := range sec.Keys {
		if !known[k.Name] {
			d.addError(k.Line, k.Name, "unknown key, allowed: %s", strings.Join(sortedKeys(known), ", "))
		}
	}
	return d.errs
}

// Bytes is a size in bytes. In a file it is written as 512, 64KB, 8MB or 2GB, with units
// that are powers of 1,024.
type Bytes int64

func sortedKeys(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

type decoder struct {
	sec  *Section
	errs Errors
}

func (d *decoder) addError(line int, key, format string, args ...any) {
	where := d.sec.Title() + "." + key
	d.errs = append(d.errs, &Error{File: d.sec.File, Line: line, Where: where, What: fmt.Sprintf(format, args...)})
}

// decodeField sets one field from its key in the section, or from its default.
func (d *decoder) decodeField(name string, field reflect.StructField, v reflect.Value) {
	key, found := d.sec.findKey(name)
	if !found {
		if field.Tag.Get("required") == "true" {
			d.addError(d.sec.Line, name, "missing, and it has no default")
			return
		}
		key = Key{Name: name, Value: field.Tag.Get("default"), Line: d.sec.Line}
		if key.Value == "" {
			return
		}
	}
	if err := setValue(v, key.Value); err != nil {
		d.addError(key.Line, name, "%v", err)
		return
	}
	if err := checkValue(field.Tag, v, key.Value); err != nil {
		d.addError(key.Line, name, "%v", err)
	}
}

func (s *Section) findKey(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// LineOf returns the line of a key, or the line of the section if the key is absent.
func (s *Section) LineOf(name string) int {
	if k, ok := s.findKey(name); ok {
		return k.Line
	}
	return s.Line
}

// setValue parses text according to the type of v and assigns the result.
func setValue(v reflect.Value, text string) error {
	switch v.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return fmt.Errorf("%q is not a duration, write for example 250ms, 30s or 10m", text)
		}
		v.SetInt(int64(d))
		return nil
	case Bytes:
		n, err := parseBytes(text)
		if err != nil {
			return err
		}
		v.SetInt(int64(n))
		return nil
	case []string:
		v.Set(reflect.ValueOf(splitList(text)))
		return nil
	}
	return setBasic(v, text)
}

func setBasic(v reflect.Value, text string) error {
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		switch text {
		case "yes", "no":
			v.SetBool(text == "yes")
		default:
			return fmt.Errorf("%q is not allowed, write yes or no", text)
		}
	case reflect.Int, reflect.Int64, reflect.Int32:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || v.OverflowInt(n) {
			return fmt.Errorf("%q is not an integer in range", text)
		}
		v.SetInt(n)
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || f != f || f > 1e300 || f < -1e300 {
			return fmt.Errorf("%q is not a number", text)
		}
		v.SetFloat(f)
	default:
		return fmt.Errorf("fields of type %s can't be read from a file", v.Type())
	}
	return nil
}

var byteUnits = []struct {
	suffix string
	factor int64
}{{"GB", 1 << 30}, {"MB", 1 << 20}, {"KB", 1 << 10}, {"", 1}}

func parseBytes(text string) (Bytes, error) {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.factor {
			break
		}
		return Bytes(n * u.factor), nil
	}
	return 0, fmt.Errorf("%q is not a size, write for example 512, 64KB, 8MB or 2GB", text)
}

func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// checkValue checks a value against the oneof, format, min and max tags of its field.
func checkValue(tag reflect.StructTag, v reflect.Value, text string) error {
	if words := tag.Get("oneof"); words != "" && !slices.Contains(strings.Fields(words), text) {
		return fmt.Errorf("%q is not allowed, write one of: %s", text, words)
	}
	if tag.Get("format") == "address" {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fmt.Errorf("%q is not an address, write IP address and port, for example 10.0.0.1:7000", text)
		}
	}
	return checkBounds(tag, v, text)
}

func checkBounds(tag reflect.StructTag, v reflect.Value, text string) error {
	for _, bound := range []struct {
		name string
		sign int
	}{{"min", -1}, {"max", 1}} {
		limit := tag.Get(bound.name)
		if limit == "" {
			continue
		}
		l := reflect.New(v.Type()).Elem()
		if err := setValue(l, limit); err != nil {
			return fmt.Errorf("bad %s tag: %w", bound.name, err)
		}
		if compare(v, l) == bound.sign {
			return fmt.Errorf("%q is out of range, %s is %s", text, bound.name, limit)
		}
	}
	return nil
}

func compare(a, b reflect.Value) int {
	if a.Kind() == reflect.Float64 {
		return cmpOrdered(a.Float(), b.Float())
	}
	return cmpOrdered(a.Int(), b.Int())
}

func cmpOrdered[T int64 | float64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
