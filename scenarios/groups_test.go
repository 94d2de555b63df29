package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/internal/fake"
)

// someSteps is how many steps show that a group runs.
const someSteps = 50

func (w *world) group(name string) (fake.GroupState, error) {
	resp, err := http.Get("http://" + w.desc.Standins.Control + "/groups")
	if err != nil {
		return fake.GroupState{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var groups map[string]fake.GroupState
	if err := json.NewDecoder(resp.Body).Decode(&groups); err != nil {
		return fake.GroupState{}, err
	}
	state, ok := groups[name]
	if !ok {
		return state, fmt.Errorf("there is no group %s", name)
	}
	if state.Mixed != "" {
		return state, errors.New(state.Mixed)
	}
	return state, nil
}

// popular GROUP EXPERT makes an expert popular and remembers the map in use.
func (w *world) popular(args []string) (string, error) {
	if len(args) != 2 {
		return "", errors.New("want: popular GROUP EXPERT")
	}
	state, err := w.group(args[0])
	if err != nil {
		return "", err
	}
	w.maps[args[0]] = state.Map
	return "", w.control(http.MethodPost, "/groups/"+args[0]+"/popular?expert="+args[1], "")
}

// switched GROUP waits for another map.
func (w *world) switched(args []string) (string, error) {
	return w.await(args[0], "kept its map", func(s fake.GroupState) bool { return s.Map != w.maps[args[0]] })
}

// goesOn GROUP waits for steps.
func (w *world) goesOn(args []string) (string, error) {
	from, err := w.group(args[0])
	if err != nil {
		return "", err
	}
	return w.await(args[0], "stands", func(s fake.GroupState) bool { return s.Steps > from.Steps+someSteps })
}

func (w *world) await(group, fault string, met func(fake.GroupState) bool) (string, error) {
	for until := time.Now().Add(patience); time.Now().Before(until); {
		state, err := w.group(group)
		if err != nil {
			return "", err
		}
		if met(state) {
			return "", nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	state, err := w.group(group)
	if err != nil {
		return "", err
	}
	return "", fmt.Errorf("group %s %s, state %+v; latest lines about it:\n%s", group, fault, state, w.linesAbout(group))
}

// tracedLines is how many lines of each process a failure shows.
const tracedLines = 20

// linesAbout returns the latest lines of all processes that name a group.
func (w *world) linesAbout(group string) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(w.procs)) {
		log, err := os.ReadFile(filepath.Join(w.dir, name+".log"))
		if err != nil {
			fmt.Fprintln(&text, err)
			continue
		}
		var lines []string
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, group) {
				lines = append(lines, name+": "+line)
			}
		}
		for _, line := range lines[max(0, len(lines)-tracedLines):] {
			text.WriteString(line)
		}
	}
	return text.String()
}

// owner pause|resume|lapsed GROUP freezes the holder of a group's lease, lets it go
// on, or waits until the lease has another holder.
func (w *world) owner(args []string) (string, error) {
	if len(args) != 2 {
		return "", errors.New("want: owner pause|resume|lapsed GROUP")
	}
	group := args[1]
	switch args[0] {
	case "resume":
		return w.resume([]string{w.owners[group]})
	case "lapsed":
		return "", w.awaitOtherOwner(group)
	}
	holder, err := w.holder(group)
	if err != nil {
		return "", err
	}
	w.owners[group] = holder
	return w.pause([]string{holder})
}

// holder asks for the status, as an operator does.
func (w *world) holder(group string) (string, error) {
	cmd := exec.Command(filepath.Join(binDir, "heatherrail"), "status")
	cmd.Dir = w.dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("status: %w: %s", err, out)
	}
	row := regexp.MustCompile(regexp.QuoteMeta(control.GroupResource(group)) + ` +(\S+)`).FindSubmatch(out)
	if row == nil {
		return "", fmt.Errorf("nobody holds the lease of %s:\n%s", group, out)
	}
	return string(row[1]), nil
}

// lapseLimit bounds the wait for a lease to lapse and be claimed again.
const lapseLimit = 3 * time.Minute

func (w *world) awaitOtherOwner(group string) error {
	for until := time.Now().Add(lapseLimit); time.Now().Before(until); time.Sleep(time.Second) {
		holder, err := w.holder(group)
		if err == nil && holder != w.owners[group] {
			return nil
		}
	}
	return fmt.Errorf("the lease of %s has not passed on", group)
}
