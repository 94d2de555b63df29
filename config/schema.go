// Package config loads the INI files of operators into one typed configuration and
// folds log records into the sequence of accepted versions. Except for LoadDir it
// does no I/O.
package config

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_gen.go

//msgp:limit arrays:131072 maps:131072

import "time"

// Config is the whole dynamic configuration. All lists are sorted by name, so equal
// content has equal encodings and digests.
type Config struct {
	Fleets   []Fleet   `msg:"fleets"`
	Targets  []Target  `msg:"targets"`
	Groups   []Group   `msg:"groups"`
	Services []Service `msg:"services"`
	Teams    []Team    `msg:"teams"`
	Policies []Policy  `msg:"policies"`
}

// Fleet is a set of targets of one kind.
type Fleet struct {
	Name   string `msg:"n"`
	Kind   string `msg:"k" ini:"kind" required:"true" oneof:"engine plain" doc:"engine: model engines; plain: ordinary services"`
	Fenced bool   `msg:"f" ini:"fenced-orders" default:"no" doc:"yes: the engines themselves refuse orders with an old fencing number"`
}

// Target is one back end: an engine or a plain service. Its address comes from the
// VM list.
type Target struct {
	Name       string `msg:"n"`
	Fleet      string `msg:"f" ini:"fleet" required:"true" doc:"name of the target's fleet"`
	DataCentre string `msg:"d" ini:"data-centre" required:"true" doc:"data centre of the target"`
}

// Group is a rank group: targets that run in lock-step under one expert map.
type Group struct {
	Name    string   `msg:"n"`
	Fleet   string   `msg:"f" ini:"fleet" required:"true" doc:"fleet that the ranks belong to"`
	Ranks   []string `msg:"r" ini:"ranks" required:"true" doc:"targets in the order of their ranks"`
	Layers  int      `msg:"l" ini:"layers" default:"48" min:"1" max:"512" doc:"layers with experts"`
	Experts int      `msg:"e" ini:"experts" default:"32" min:"1" max:"4096" doc:"experts a layer"`
	Slots   int      `msg:"s" ini:"slots" default:"40" min:"1" max:"8192" doc:"expert slots a layer over all ranks, redundant ones included"`

	ExpertMB  int           `msg:"b" ini:"expert-mb" default:"24" min:"1" doc:"weights of one expert of one layer, in megabytes"`
	StoreMB   int           `msg:"w" ini:"store-mb-per-second" default:"1000" min:"1" doc:"share of the weight store's rate that this group may use"`
	Spare     int           `msg:"x" ini:"spare-experts" default:"0" min:"0" doc:"experts that a rank may hold beside those in use, over all layers; 0: no bound"`
	PlanEvery time.Duration `msg:"p" ini:"plan-every" default:"60s" min:"1s" max:"1h" doc:"how often moves of experts are weighed"`
	GainLife  time.Duration `msg:"g" ini:"gain-life" default:"30m" min:"1m" max:"24h" doc:"how long the gain of a move is expected to last"`
}

// Service is a named service that callers address.
type Service struct {
	Name   string `msg:"n"`
	Fleet  string `msg:"f" ini:"fleet" required:"true" doc:"fleet that serves it"`
	Model  string `msg:"m" ini:"model" doc:"model that the engines must have loaded; empty for plain services"`
	Policy string `msg:"p" ini:"policy" default:"default" doc:"routing policy"`
}

// Team is a group of callers with its own keys, weight and limits.
type Team struct {
	Name      string   `msg:"n"`
	KeyHashes []string `msg:"k" ini:"key-hash" required:"true" doc:"sha256 of each valid key in hex; two during a rotation"`
	Services  []string `msg:"s" ini:"services" required:"true" doc:"services that the team may use"`
	Weight    int      `msg:"w" ini:"weight" default:"100" min:"1" max:"100000" doc:"share under contention"`
	Tokens    int      `msg:"t" ini:"tokens-per-second" default:"0" min:"0" doc:"limit over all entries; 0: none"`
	Requests  int      `msg:"r" ini:"requests-per-second" default:"0" min:"0" doc:"limit over all entries; 0: none"`
	InFlight  int      `msg:"c" ini:"in-flight" default:"0" min:"0" doc:"limit of requests at once over all entries; 0: none"`
}

// Policy sets deadline, retries, deduplication and placement for the requests of a
// service.
type Policy struct {
	Name        string        `msg:"n"`
	Deadline    time.Duration `msg:"d" ini:"deadline" default:"60s" min:"10ms" max:"1h" doc:"for requests that bring none"`
	RetryShare  float64       `msg:"r" ini:"retry-share" default:"0.1" min:"0" max:"1" doc:"retries as a share of requests"`
	DedupWindow time.Duration `msg:"w" ini:"dedup-window" default:"10m" min:"1s" max:"24h" doc:"how long a non-repeatable request is remembered"`
	DedupKeys   int           `msg:"k" ini:"dedup-keys" default:"65536" min:"1" doc:"how many are remembered by a target at most"`
	SkewWeight  float64       `msg:"s" ini:"skew-weight" default:"1" min:"0" doc:"price of one rank kept waiting for one minute by step-time skew"`
	MoveWeight  float64       `msg:"m" ini:"move-weight" default:"1" min:"0" doc:"price of a gigabyte of expert weights moved"`
	WaitSlack   time.Duration `msg:"pa" ini:"patience" default:"30ms" min:"0s" max:"1m" doc:"how much longer than on an idle target a first token may take before the agent sends the request back to be placed again; 0s: never"`
	SampleNear  int           `msg:"sn" ini:"sample-near" default:"1" min:"1" max:"4" doc:"targets of the entry's data centre that one decision rates"`
	SampleFar   int           `msg:"sf" ini:"sample-far" default:"1" min:"0" max:"4" doc:"targets of other data centres that one decision rates"`
	Distance    time.Duration `msg:"di" ini:"distance" default:"2ms" min:"0s" max:"10s" doc:"price of another data centre, as wait"`
	LoadPrice   float64       `msg:"lp" ini:"load-price" default:"0.2" min:"0" max:"100" doc:"price of a full engine, as seconds of wait"`
}
