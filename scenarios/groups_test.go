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

// minSteps is the number of steps that a group must exceed to count as running.
const minSteps = 50

// group returns the state of a group at the stand-ins. It fails if a step ran with two maps.
func (sc *scenario) group(name string) (fake.GroupState, error) {
	resp, err := http.Get("http://" + sc.description.Standins.Control + "/groups")
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
		return state, fmt.Errorf("unknown group %s", name)
	}
	if state.Mixed != "" {
		return state, errors.New(state.Mixed)
	}
	return state, nil
}

// popular implements the command "popular GROUP EXPERT": it gives the expert with that index in
// each layer ten times the tokens of other experts, and records the current map for "switched".
func (sc *scenario) popular(args []string) (string, error) {
	if len(args) != 2 {
		return "", errors.New("want: popular GROUP EXPERT")
	}
	state, err := sc.group(args[0])
	if err != nil {
		return "", err
	}
	sc.mapsBefore[args[0]] = state.Map
	return "", sc.control(http.MethodPost, "/groups/"+args[0]+"/popular?expert="+args[1], "")
}

// switched implements the command "switched GROUP": it waits until the group uses a map other than
// the one in use at the latest "popular".
func (sc *scenario) switched(args []string) (string, error) {
	return sc.awaitGroup(args[0], "did not switch its map", func(s fake.GroupState) bool { return s.Map != sc.mapsBefore[args[0]] })
}

// goesOn implements the command "goes-on GROUP": it waits until the group has run more than
// minSteps further steps.
func (sc *scenario) goesOn(args []string) (string, error) {
	before, err := sc.group(args[0])
	if err != nil {
		return "", err
	}
	return sc.awaitGroup(args[0], "runs no steps", func(s fake.GroupState) bool { return s.Steps > before.Steps+minSteps })
}

// awaitGroup polls the state of a group until met returns true. It fails after waitTimeout; the error
// contains fault, the state and the latest log lines about the group.
func (sc *scenario) awaitGroup(group, fault string, met func(fake.GroupState) bool) (string, error) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		state, err := sc.group(group)
		if err != nil {
			return "", err
		}
		if met(state) {
			return "", nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	state, err := sc.group(group)
	if err != nil {
		return "", err
	}
	return "", fmt.Errorf("group %s %s, state %+v; latest lines about it:\n%s", group, fault, state, sc.linesMentioning(group))
}

// maxLinesPerProcess limits the log lines of each process that a failure shows.
const maxLinesPerProcess = 20

// linesMentioning returns the latest log lines that name a group, of all processes.
func (sc *scenario) linesMentioning(group string) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(sc.procs)) {
		log, err := os.ReadFile(filepath.Join(sc.dir, name+".log"))
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
		for _, line := range lines[max(0, len(lines)-maxLinesPerProcess):] {
			text.WriteString(line)
		}
	}
	return text.String()
}

// owner implements the command "owner pause|resume|lapsed GROUP": it pauses the holder of the
// lease of a group, resumes it, or waits until the lease has another holder.
func (sc *scenario) owner(args []string) (string, error) {
	if len(args) != 2 {
		return "", errors.New("want: owner pause|resume|lapsed GROUP")
	}
	group := args[1]
	switch args[0] {
	case "resume":
		return sc.resume([]string{sc.pausedOwners[group]})
	case "lapsed":
		return "", sc.awaitOtherOwner(group)
	}
	holder, err := sc.leaseHolder(group)
	if err != nil {
		return "", err
	}
	sc.pausedOwners[group] = holder
	return sc.pause([]string{holder})
}

// leaseHolder returns the holder of the lease of a group, from "heatherrail status".
func (sc *scenario) leaseHolder(group string) (string, error) {
	cmd := exec.Command(filepath.Join(binDir, "heatherrail"), "status")
	cmd.Dir = sc.dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("heatherrail status: %w: %s", err, out)
	}
	match := regexp.MustCompile(regexp.QuoteMeta(control.GroupResource(group)) + ` +(\S+)`).FindSubmatch(out)
	if match == nil {
		return "", fmt.Errorf("lease of group %s has no holder in the status:\n%s", group, out)
	}
	return string(match[1]), nil
}

// leaseLapseTimeout limits the wait until a lease has expired and another process holds it.
const leaseLapseTimeout = 3 * time.Minute

// awaitOtherOwner waits until a process other than the paused owner holds the lease of a group.
func (sc *scenario) awaitOtherOwner(group string) error {
	for deadline := time.Now().Add(leaseLapseTimeout); time.Now().Before(deadline); time.Sleep(time.Second) {
		holder, err := sc.leaseHolder(group)
		if err == nil && holder != sc.pausedOwners[group] {
			return nil
		}
	}
	return fmt.Errorf("lease of group %s has no new holder in time", group)
}
